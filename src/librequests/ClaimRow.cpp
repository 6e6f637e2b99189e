#include "Fescuegauge/ClaimRow.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cctype>

namespace fescuegauge {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxEpochDigits = 9;
constexpr std::size_t MaxRandomCharacters = 100;

constexpr std::array<std::string_view, 4> StateNames = {"claimed", "done", "notRun", "unknown"};

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

bool isKeyCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 || Character == '.' ||
         Character == '_' || Character == '-';
}

std::string toHex(std::string_view Data) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (char Character : Data) {
    auto Byte = static_cast<unsigned char>(Character);
    Hex.push_back(Digits[Byte >> 4]);
    Hex.push_back(Digits[Byte & 15]);
  }
  return Hex;
}

std::optional<std::string> fromHex(std::string_view Text) {
  auto Value = [](char Character) {
    if (isDigit(Character))
      return Character - '0';
    return Character >= 'a' && Character <= 'f' ? Character - 'a' + 10 : -1;
  };
  if (Text.size() % 2 != 0)
    return std::nullopt;
  std::string Data;
  for (std::size_t I = 0; I < Text.size(); I += 2) {
    int High = Value(Text[I]);
    int Low = Value(Text[I + 1]);
    if (High < 0 || Low < 0)
      return std::nullopt;
    Data.push_back(static_cast<char>(High * 16 + Low));
  }
  return Data;
}

/// Row values are embedded in JSON messages, which must be valid UTF-8, but answer bodies may
/// contain arbitrary bytes.
bool isUtf8(const std::string &Text) {
  json::error_code Error;
  json::parse(json::serialize(json::string(Text)), Error);
  return !Error;
}

std::optional<std::string> stringField(const json::object &Object, std::string_view Name) {
  const json::value *Field = Object.if_contains(Name);
  if (!Field || !Field->is_string())
    return std::nullopt;
  return std::string(Field->get_string());
}

std::optional<RecordedAnswer> decodeAnswer(const json::object &Object) {
  RecordedAnswer Answer;
  const json::value *Status = Object.if_contains("status");
  auto ContentType = stringField(Object, "contentType");
  if (!Status || !Status->is_int64() || !ContentType)
    return std::nullopt;
  Answer.m_HttpStatus = static_cast<int>(Status->get_int64());
  Answer.m_ContentType = *ContentType;
  if (auto Body = stringField(Object, "body")) {
    Answer.m_Body = *Body;
  } else if (auto Hex = stringField(Object, "bodyHex")) {
    auto Bytes = fromHex(*Hex);
    if (!Bytes)
      return std::nullopt;
    Answer.m_Body = *Bytes;
  } else {
    Answer.m_BodyOmitted = true;
  }
  return Answer;
}

} // namespace

std::string ClaimRow::encode() const {
  json::object Object{{"claimId", m_ClaimId.str()},
                      {"entry", m_Entry.str()},
                      {"bodyDigest", m_BodyDigest.hex()},
                      {"service", m_Service.str()},
                      {"generation", m_Generation.str()},
                      {"state", StateNames.at(static_cast<std::size_t>(m_State))}};
  if (m_Answer) {
    json::object Answer{{"status", m_Answer->m_HttpStatus},
                        {"contentType", m_Answer->m_ContentType}};
    if (!m_Answer->m_BodyOmitted && m_Answer->m_Body.size() <= RecordedAnswer::MaxBodyBytes) {
      if (isUtf8(m_Answer->m_Body))
        Answer["body"] = m_Answer->m_Body;
      else
        Answer["bodyHex"] = toHex(m_Answer->m_Body);
    }
    Object["answer"] = std::move(Answer);
  }
  return json::serialize(Object);
}

std::optional<ClaimRow> ClaimRow::decode(std::string_view Text) {
  json::error_code Error;
  json::value Parsed = json::parse(Text, Error);
  if (Error || !Parsed.is_object())
    return std::nullopt;
  const json::object &Object = Parsed.get_object();
  auto Claim = stringField(Object, "claimId");
  auto Entry = stringField(Object, "entry");
  auto Hex = stringField(Object, "bodyDigest");
  auto Service = stringField(Object, "service");
  auto Generation = stringField(Object, "generation");
  auto State = stringField(Object, "state");
  if (!Claim || !Entry || !Hex || !Service || !Generation || !State)
    return std::nullopt;
  auto BodyDigest = Digest::fromHex(*Hex);
  const auto *StateName = std::find(StateNames.begin(), StateNames.end(), *State);
  if (!BodyDigest || StateName == StateNames.end())
    return std::nullopt;
  ClaimRow Row;
  Row.m_ClaimId = ClaimId(*Claim);
  Row.m_Entry = InstanceId(*Entry);
  Row.m_BodyDigest = *BodyDigest;
  Row.m_Service = ServiceId(*Service);
  Row.m_Generation = GenerationId(*Generation);
  Row.m_State = static_cast<ClaimState>(StateName - StateNames.begin());
  if (const json::value *Field = Object.if_contains("answer")) {
    if (!Field->is_object())
      return std::nullopt;
    Row.m_Answer = decodeAnswer(Field->get_object());
  }
  if ((Row.m_State == ClaimState::Done) != Row.m_Answer.has_value())
    return std::nullopt;
  return Row;
}

std::optional<ClaimEpoch> decodeClaimEpoch(std::string_view Text) {
  json::error_code Error;
  json::value Parsed = json::parse(Text, Error);
  if (Error || !Parsed.is_object())
    return std::nullopt;
  const json::value *Oldest = Parsed.get_object().if_contains("oldest");
  if (!Oldest || !Oldest->is_int64() || Oldest->get_int64() < 0)
    return std::nullopt;
  return ClaimEpoch(static_cast<std::uint64_t>(Oldest->get_int64()));
}

std::string encodeClaimEpoch(ClaimEpoch Oldest) {
  return json::serialize(json::object{{"oldest", static_cast<std::int64_t>(Oldest.value())}});
}

std::optional<ClaimEpoch> keyEpoch(const IdempotencyKey &Key) {
  std::string_view Text = Key.str();
  std::size_t Hyphen = Text.find('-');
  if (Hyphen == std::string_view::npos || Hyphen == 0 || Hyphen > MaxEpochDigits)
    return std::nullopt;
  std::uint64_t Epoch = 0;
  for (char Character : Text.substr(0, Hyphen)) {
    if (!isDigit(Character))
      return std::nullopt;
    Epoch = Epoch * 10 + static_cast<std::uint64_t>(Character - '0');
  }
  std::string_view Random = Text.substr(Hyphen + 1);
  if (Random.empty() || Random.size() > MaxRandomCharacters ||
      !std::all_of(Random.begin(), Random.end(), isKeyCharacter))
    return std::nullopt;
  return ClaimEpoch(Epoch);
}

bool isRowKeyPart(std::string_view Name) {
  return !Name.empty() && std::none_of(Name.begin(), Name.end(), [](char Character) {
    return Character == '/' || static_cast<unsigned char>(Character) < ' ';
  });
}

bool isClaimRowDeletable(const TableRow &Row, ClaimEpoch Oldest) {
  if (!Row.m_Key.starts_with(ClaimRowsPrefix))
    return false;
  auto Epoch = keyEpoch(IdempotencyKey(Row.m_Key.substr(Row.m_Key.rfind('/') + 1)));
  auto Claim = ClaimRow::decode(Row.m_Value);
  return Epoch && *Epoch < Oldest && Claim && Claim->m_State != ClaimState::Claimed;
}

} // namespace fescuegauge
