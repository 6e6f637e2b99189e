#include "Fescuegauge/Configuration.h"
#include "Fescuegauge/ByteCodec.h"
#include "Json.h"

namespace fescuegauge {

namespace {

namespace json = boost::json;

std::shared_ptr<const StoredDeclaration> makeStoredDeclaration(const Declaration &Declared) {
  return std::make_shared<const StoredDeclaration>(
      StoredDeclaration{Declared, encodeDeclaration(Declared)});
}

/// Returns null if the text is not exactly one declaration with that name.
std::shared_ptr<const StoredDeclaration> parseStoredDeclaration(const DeclarationName &Name,
                                                                std::string_view Text) {
  ParsedDeclarations Parsed = parseDeclaration(Text);
  if (!Parsed.m_Errors.empty() || Parsed.m_Declarations.size() != 1 ||
      declarationName(Parsed.m_Declarations.front()) != Name)
    return nullptr;
  return makeStoredDeclaration(Parsed.m_Declarations.front());
}

json::value declarationJson(const Declaration &Declared) {
  return *parseJson(encodeDeclaration(Declared));
}

} // namespace

std::string changeKey(ChangeNumber Number) {
  return "config/change/" + std::to_string(Number.value());
}

std::string snapshotKey(ChangeNumber Number) {
  return "config/snapshot/" + std::to_string(Number.value());
}

std::string Change::encode() const {
  json::array Edits;
  for (const DeclarationEdit &Edit : m_Edits)
    Edits.push_back(json::object{
        {"name", Edit.m_Name.str()},
        {"declaration", Edit.m_Declaration ? declarationJson(*Edit.m_Declaration) : nullptr}});
  return json::serialize(json::object{{"number", m_Number.value()},
                                      {"id", m_Id.str()},
                                      {"author", m_Author},
                                      {"edits", std::move(Edits)},
                                      {"digest", m_ResultDigest.hex()}});
}

std::optional<Change> Change::decode(std::string_view Text) {
  auto Value = parseJson(Text);
  if (!Value || !Value->is_object())
    return {};
  const json::object &Object = Value->get_object();
  auto Number = jsonNumber(Object, "number");
  auto ResultDigest = Digest::fromHex(jsonText(Object, "digest"));
  const json::value *Edits = Object.if_contains("edits");
  if (!Number || !ResultDigest || !Edits || !Edits->is_array())
    return {};
  Change Result;
  Result.m_Number = ChangeNumber(*Number);
  Result.m_Id = ChangeId(jsonText(Object, "id"));
  Result.m_Author = jsonText(Object, "author");
  Result.m_ResultDigest = *ResultDigest;
  for (const json::value &Element : Edits->get_array()) {
    if (!Element.is_object())
      return {};
    DeclarationEdit Edit;
    Edit.m_Name = DeclarationName(jsonText(Element.get_object(), "name"));
    const json::value *Declared = Element.get_object().if_contains("declaration");
    if (!Declared || Edit.m_Name.empty())
      return {};
    if (!Declared->is_null()) {
      auto Stored = parseStoredDeclaration(Edit.m_Name, json::serialize(*Declared));
      if (!Stored)
        return {};
      Edit.m_Declaration = Stored->m_Declaration;
    }
    Result.m_Edits.push_back(std::move(Edit));
  }
  return Result;
}

std::string Change::summary() const {
  std::string Result = "change " + std::to_string(m_Number.value()) + " by " + m_Author + ":";
  const char *Separator = " ";
  for (const DeclarationEdit &Edit : m_Edits) {
    Result += Separator + std::string(Edit.m_Declaration ? "set " : "deleted ") + Edit.m_Name.str();
    if (Edit.m_Declaration)
      Result += " to " + encodeDeclaration(*Edit.m_Declaration);
    Separator = ", ";
  }
  return Result;
}

std::string ConfigurationHead::encode() const {
  json::array Recent;
  for (const auto &[Id, Number] : m_Recent)
    Recent.push_back(json::array{Id.str(), Number.value()});
  return json::serialize(json::object{{"number", m_Number.value()},
                                      {"changeId", m_ChangeId.str()},
                                      {"epoch", m_Epoch.value()},
                                      {"snapshot", m_Snapshot.value()},
                                      {"recent", std::move(Recent)}});
}

std::optional<ConfigurationHead> ConfigurationHead::decode(std::string_view Text) {
  ConfigurationHead Result;
  if (Text.empty())
    return Result;
  auto Value = parseJson(Text);
  if (!Value || !Value->is_object())
    return {};
  const json::object &Object = Value->get_object();
  auto Number = jsonNumber(Object, "number");
  auto Snapshot = jsonNumber(Object, "snapshot");
  const json::value *Recent = Object.if_contains("recent");
  if (!Number || !Snapshot || !Recent || !Recent->is_array())
    return {};
  Result.m_Number = ChangeNumber(*Number);
  Result.m_ChangeId = ChangeId(jsonText(Object, "changeId"));
  Result.m_Epoch = StoreEpoch(jsonNumber(Object, "epoch").value_or(0));
  Result.m_Snapshot = ChangeNumber(*Snapshot);
  for (const json::value &Element : Recent->get_array()) {
    if (!Element.is_array() || Element.get_array().size() != 2 ||
        !Element.get_array()[0].is_string() || !Element.get_array()[1].is_int64())
      return {};
    Result.m_Recent.emplace_back(
        std::string(Element.get_array()[0].get_string()),
        ChangeNumber(static_cast<std::uint64_t>(Element.get_array()[1].get_int64())));
  }
  return Result;
}

const Declaration *Configuration::find(const DeclarationName &Name) const {
  auto Found = m_Entries.find(Name);
  if (Found == m_Entries.end() || !Found->second.m_Stored)
    return nullptr;
  return &Found->second.m_Stored->m_Declaration;
}

const ClassTarget *Configuration::target(const ServiceId &Service, const WorkClassId &Class) const {
  const Declaration *Found = find(DeclarationName("target/" + Service.str() + "/" + Class.str()));
  const auto *Target = Found ? std::get_if<TargetDeclaration>(Found) : nullptr;
  return Target ? &Target->m_Target : nullptr;
}

std::vector<DeclarationEdit>
Configuration::effectiveEdits(std::span<const DeclarationEdit> Edits) const {
  std::vector<DeclarationEdit> Result;
  for (const DeclarationEdit &Edit : Edits) {
    auto Found = m_Entries.find(Edit.m_Name);
    const StoredDeclaration *Stored =
        Found == m_Entries.end() ? nullptr : Found->second.m_Stored.get();
    bool Differs = Edit.m_Declaration
                       ? !Stored || Stored->m_Text != encodeDeclaration(*Edit.m_Declaration)
                       : Stored != nullptr;
    if (Differs)
      Result.push_back(Edit);
  }
  return Result;
}

Configuration Configuration::withEdits(std::span<const DeclarationEdit> Edits) const {
  Configuration Result = *this;
  ChangeNumber Number = m_Number.next();
  for (const DeclarationEdit &Edit : Edits)
    Result.set(Edit.m_Name,
               Edit.m_Declaration ? makeStoredDeclaration(*Edit.m_Declaration) : nullptr, Number);
  Result.finish(Number);
  return Result;
}

Configuration Configuration::withNumber(ChangeNumber Number) const {
  Configuration Result = *this;
  Result.finish(Number);
  return Result;
}

void Configuration::set(const DeclarationName &Name,
                        std::shared_ptr<const StoredDeclaration> Stored, ChangeNumber SetBy) {
  ConfigurationEntry Entry{std::move(Stored), SetBy, {}};
  ByteWriter Content;
  Content.id(Name);
  Content.id(SetBy);
  Content.text(Entry.m_Stored ? std::string_view(Entry.m_Stored->m_Text) : std::string_view());
  Entry.m_Digest = sha256(Content.take());
  m_Entries[Name] = std::move(Entry);
}

void Configuration::finish(ChangeNumber Number) {
  m_Number = Number;
  std::erase_if(m_Entries, [&](const auto &Item) {
    return !Item.second.m_Stored &&
           Item.second.m_SetBy.value() + TombstoneLifetimeChanges <= Number.value();
  });
  DigestBuilder Builder;
  Builder.update(std::to_string(Number.value()));
  for (const auto &[Name, Entry] : m_Entries)
    Builder.update(std::span<const std::uint8_t>(Entry.m_Digest.bytes()));
  m_Digest = Builder.finish();
}

bool Configuration::needsFullCopy(ChangeNumber Since) const {
  return Since.value() + TombstoneLifetimeChanges <= m_Number.value();
}

std::vector<WireEntry> Configuration::entriesSince(ChangeNumber Since,
                                                   const DeclarationName &AfterName,
                                                   std::size_t MaxBytes, bool &More) const {
  std::vector<WireEntry> Result;
  std::size_t Size = 0;
  More = false;
  for (auto Next = m_Entries.upper_bound(AfterName); Next != m_Entries.end(); ++Next) {
    const auto &[Name, Entry] = *Next;
    if (Entry.m_SetBy <= Since)
      continue;
    std::string Text = Entry.m_Stored ? Entry.m_Stored->m_Text : std::string();
    // The length fields and the change number take at most 14 bytes.
    std::size_t EntrySize = Name.str().size() + Text.size() + 14;
    if (!Result.empty() && Size + EntrySize > MaxBytes) {
      More = true;
      break;
    }
    Size += EntrySize;
    Result.push_back({Name, Entry.m_SetBy, std::move(Text)});
  }
  return Result;
}

std::optional<Configuration> Configuration::withEntries(std::span<const WireEntry> Entries,
                                                        ChangeNumber To, bool FullCopy) const {
  Configuration Result;
  if (!FullCopy)
    Result = *this;
  for (const WireEntry &Entry : Entries) {
    if (Entry.m_SetBy > To)
      return {};
    if (!FullCopy && Entry.m_SetBy <= m_Number)
      continue;
    std::shared_ptr<const StoredDeclaration> Stored;
    if (!Entry.m_Text.empty()) {
      Stored = parseStoredDeclaration(Entry.m_Name, Entry.m_Text);
      if (!Stored)
        return {};
    }
    Result.set(Entry.m_Name, std::move(Stored), Entry.m_SetBy);
  }
  if (Result.m_Entries.size() > MaxEntries)
    return {};
  Result.finish(To);
  return Result;
}

std::string Configuration::encodeSnapshot() const {
  json::array Entries;
  for (const auto &[Name, Entry] : m_Entries)
    Entries.push_back(
        json::object{{"name", Name.str()},
                     {"setBy", Entry.m_SetBy.value()},
                     {"declaration",
                      Entry.m_Stored ? declarationJson(Entry.m_Stored->m_Declaration) : nullptr}});
  return json::serialize(json::object{
      {"number", m_Number.value()}, {"digest", m_Digest.hex()}, {"entries", std::move(Entries)}});
}

std::optional<Configuration> Configuration::decodeSnapshot(std::string_view Text) {
  auto Value = parseJson(Text);
  if (!Value || !Value->is_object())
    return {};
  const json::object &Object = Value->get_object();
  auto Number = jsonNumber(Object, "number");
  auto Expected = Digest::fromHex(jsonText(Object, "digest"));
  const json::value *Elements = Object.if_contains("entries");
  if (!Number || !Expected || !Elements || !Elements->is_array())
    return {};
  std::vector<WireEntry> Entries;
  for (const json::value &Element : Elements->get_array()) {
    if (!Element.is_object())
      return {};
    auto SetBy = jsonNumber(Element.get_object(), "setBy");
    const json::value *Declared = Element.get_object().if_contains("declaration");
    if (!SetBy || !Declared)
      return {};
    Entries.push_back({DeclarationName(jsonText(Element.get_object(), "name")),
                       ChangeNumber(*SetBy),
                       Declared->is_null() ? std::string() : json::serialize(*Declared)});
  }
  auto Result = Configuration().withEntries(Entries, ChangeNumber(*Number), true);
  if (!Result || Result->digest() != *Expected)
    return {};
  return Result;
}

} // namespace fescuegauge
