#include "Fescuegauge/DeclarationFile.h"

#include "Fescuegauge/EndpointText.h"
#include "JsonLines.h"
#include "ValueChecks.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cctype>
#include <functional>
#include <set>

namespace fescuegauge {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

/// One key of a declaration's spec.
struct SpecKey {
  std::string m_Name;
  bool m_IsRequired;
  std::string m_Type;
  std::string m_Description;
  std::function<void(const json::value &, const ReportError &)> m_Check;
};

/// One kind of declaration.
struct SpecKind {
  std::string_view m_Name;
  std::string_view m_Description;
  std::vector<SpecKey> m_Keys;
  /// Rules that concern two keys; called only if each key is valid by itself.
  void (*m_CheckRelations)(const json::object &, const ReportError &);
};

constexpr std::string_view DerivedValueMessage =
    "weights, shares and addresses cannot be declared; declare a target, and the system derives "
    "them";

/// The words of a key such as "trafficShare" or "host_name" in lower case.
std::vector<std::string> wordsOf(std::string_view Key) {
  std::vector<std::string> Words(1);
  for (char Raw : Key) {
    const auto Character = static_cast<unsigned char>(Raw);
    if (!std::isalnum(Character) || (std::isupper(Character) && !Words.back().empty()))
      Words.emplace_back();
    if (std::isalnum(Character))
      Words.back() += static_cast<char>(std::tolower(Character));
  }
  return Words;
}

/// True for keys that attempt to declare values which the system derives.
bool isDerivedValueKey(std::string_view Key) {
  static const std::set<std::string, std::less<>> Derived = {
      "weight",  "weights", "share",     "shares", "percent", "percentage", "ratio",
      "address", "host",    "addresses", "hosts",  "port",    "endpoint",   "endpoints",
      "ports",   "url",     "urls",      "ip",     "ips",     "replicas"};
  return std::ranges::any_of(wordsOf(Key),
                             [](const std::string &Word) { return Derived.contains(Word); });
}

/// Addresses may consist of characters that are valid in ids, so they need a separate check.
bool isAddress(std::string_view Text) {
  return isIpAddress(Text) || parseEndpoint(Text) || Text.find("://") != std::string_view::npos;
}

void checkId(const json::value &Value, const ReportError &Report) {
  if (Value.is_string() && isAddress(std::string_view(Value.get_string())))
    Report({}, std::string(DerivedValueMessage));
  else
    readId(Value, {}, Report);
}

SpecKey id(std::string Name, std::string Description) {
  return {std::move(Name), true, "id", std::move(Description), checkId};
}

SpecKey integer(std::string Name, std::int64_t Min, std::int64_t Max, std::string Description) {
  std::string Range = std::to_string(Min) + " to " + std::to_string(Max);
  return {std::move(Name), false, "integer, " + Range, std::move(Description),
          [=](const json::value &Value, const ReportError &Report) {
            if (!Value.is_int64() && !Value.is_uint64())
              return Report({}, wrongTypeText("an integer", Value));
            json::error_code Failure;
            auto Number = Value.to_number<std::int64_t>(Failure);
            if (Failure || Number < Min || Number > Max)
              Report({}, "must be " + Range);
          }};
}

/// A duration for which a caller waits. The maximum of one hour exceeds any useful target.
SpecKey milliseconds(std::string Name, std::string Description) {
  return integer(std::move(Name), 1, 3600000, std::move(Description));
}

SpecKey flag(std::string Name, std::string Description) {
  return {std::move(Name), false, "`true` or `false`", std::move(Description),
          [](const json::value &Value, const ReportError &Report) {
            if (!Value.is_bool())
              Report({}, wrongTypeText("true or false", Value));
          }};
}

SpecKey choice(std::string Name, const std::vector<std::string_view> &Names,
               std::string Description) {
  std::string Text = choiceText(Names);
  return {std::move(Name), true, Text, std::move(Description),
          [=](const json::value &Value, const ReportError &Report) {
            if (!Value.is_string())
              Report({}, wrongTypeText("a string", Value));
            else if (std::ranges::find(Names, std::string_view(Value.get_string())) == Names.end())
              Report({}, "must be " + Text);
          }};
}

void noRelations(const json::object &, const ReportError &) {}

void checkTarget(const json::object &Spec, const ReportError &Report) {
  const json::value *FirstToken = Spec.if_contains("firstTokenWithinMs");
  const json::value *Answer = Spec.if_contains("answerWithinMs");
  if (FirstToken && Answer &&
      FirstToken->to_number<std::int64_t>() > Answer->to_number<std::int64_t>())
    Report(".firstTokenWithinMs", "must not be above answerWithinMs");
}

void checkMove(const json::object &Spec, const ReportError &Report) {
  if (Spec.at("from") == Spec.at("to"))
    Report(".to", "must not be the generation in from");
}

const std::vector<SpecKind> &specKinds() {
  static const std::vector<SpecKind> Kinds = {
      {"target",
       "What is promised for one class of work of a service. A promise that is left out is not "
       "made.",
       {id("service", "Service that callers name."), id("class", "Class of work."),
        milliseconds("answerWithinMs", "Time in which the whole answer arrives."),
        milliseconds("firstTokenWithinMs", "Time in which the first token arrives."),
        milliseconds("staleAfterMs", "An answer that is older than this is not delivered."),
        flag("neverLost", "Requests are refused only when nothing else can be done."),
        flag("nonIdempotent", "Requests run at most once and need an idempotency key."),
        integer("priority", -100, 100, "Priority passed to the engine; a higher one goes first.")},
       checkTarget},
      {"rollout",
       "The model version that a service should serve.",
       {id("service", "Service whose upstreams load the version."),
        id("version", "Model version, as the origin names it."),
        choice("prefer", {"origin-bytes", "time"},
               "Whether few bytes from the origin or a short time matters more."),
        integer("minimumServing", 0, 100000,
                "Upstreams of the service that keep serving while others load; 1 if left out.")},
       noRelations},
      {"service",
       "A service whose old and new system run beside each other.",
       {id("service", "Service that callers name."),
        id("initialGeneration",
           "Generation that has the non-idempotent work of an account that was never moved.")},
       noRelations},
      {"move",
       "A class of work that should move from one generation to another, as far and as fast as its "
       "promise is kept there.",
       {id("service", "Service to which both generations belong."), id("class", "Class of work."),
        id("from", "Generation that has the work now."), id("to", "Generation that should get it."),
        choice("promise", {"answerWithin", "firstTokenWithin"},
               "Guarantee that must hold on the new generation while the work moves.")},
       checkMove},
  };
  return Kinds;
}

void checkSpec(const SpecKind &Kind, const json::object &Spec, const ReportError &Report) {
  bool IsValid = true;
  const ReportError ReportInSpec = [&](const std::string &SubPath, std::string Message) {
    IsValid = false;
    Report(".spec" + SubPath, std::move(Message));
  };
  for (const auto &Member : Spec) {
    std::string Name(Member.key());
    const ReportError ReportAtKey = [&](const std::string &SubPath, std::string Message) {
      ReportInSpec(std::string(".").append(Name).append(SubPath), std::move(Message));
    };
    auto Key = std::ranges::find(Kind.m_Keys, Name, &SpecKey::m_Name);
    if (Key != Kind.m_Keys.end())
      Key->m_Check(Member.value(), ReportAtKey);
    else
      ReportAtKey({}, isDerivedValueKey(Name) ? std::string(DerivedValueMessage) : "unknown key");
  }
  for (const SpecKey &Key : Kind.m_Keys)
    if (Key.m_IsRequired && !Spec.contains(Key.m_Name))
      ReportInSpec("." + Key.m_Name, "missing");
  if (IsValid)
    Kind.m_CheckRelations(Spec, ReportInSpec);
}

void checkDeclaration(const json::object &Declared, const ReportError &Report) {
  for (const auto &Member : Declared)
    if (std::string Name(Member.key()); Name != "name" && Name != "kind" && Name != "spec")
      Report("." + Name,
             isDerivedValueKey(Name) ? std::string(DerivedValueMessage) : "unknown key");
  for (const char *RequiredName : {"name", "kind", "spec"})
    if (!Declared.contains(RequiredName))
      Report("." + std::string(RequiredName), "missing");
  if (const json::value *Name = Declared.if_contains("name"))
    checkId(*Name,
            [&](const std::string &, std::string Message) { Report(".name", std::move(Message)); });
  const json::value *Spec = Declared.if_contains("spec");
  if (Spec && !Spec->is_object())
    Report(".spec", wrongTypeText("an object", *Spec));
  const json::value *KindName = Declared.if_contains("kind");
  if (!KindName)
    return;
  if (!KindName->is_string())
    return Report(".kind", wrongTypeText("a string", *KindName));
  auto Kind =
      std::ranges::find(specKinds(), std::string_view(KindName->get_string()), &SpecKind::m_Name);
  if (Kind == specKinds().end()) {
    std::vector<std::string_view> Names;
    for (const SpecKind &Known : specKinds())
      Names.push_back(Known.m_Name);
    return Report(".kind", "must be " + choiceText(Names));
  }
  if (Spec && Spec->is_object())
    checkSpec(*Kind, Spec->get_object(), Report);
}

/// Validates the declarations of a file and collects the errors with their lines.
class FileChecker {
public:
  FileChecker(const JsonWithLines &Source, std::string_view FileName)
      : m_Source(Source), m_FileName(FileName) {}

  void run() {
    for (const auto &Problem : m_Source.m_Problems)
      m_Errors.m_Errors.push_back(
          {std::string(m_FileName), Problem.m_Line, Problem.m_Path, Problem.m_Message});
    if (!m_Source.m_IsValid)
      return;
    if (!m_Source.m_Root.is_object())
      return add({}, wrongTypeText("an object", m_Source.m_Root));
    const json::object &Root = m_Source.m_Root.get_object();
    for (const auto &Member : Root)
      if (Member.key() != "declarations")
        add(std::string(Member.key()), "unknown key");
    const json::value *List = Root.if_contains("declarations");
    if (!List)
      return add("declarations", "missing");
    if (!List->is_array())
      return add("declarations", wrongTypeText("a list", *List));
    if (List->get_array().size() > MaxDeclarations)
      return add("declarations", "has more than " + std::to_string(MaxDeclarations) + " entries");
    for (std::size_t I = 0; I < List->get_array().size(); ++I)
      checkEntry("declarations[" + std::to_string(I) + "]", List->get_array()[I]);
  }

  std::vector<DeclarationText> m_Declarations;
  DeclarationErrors m_Errors;

private:
  void add(const std::string &Path, std::string Message) {
    m_Errors.m_Errors.push_back(
        {std::string(m_FileName), m_Source.lineOf(Path), Path, std::move(Message)});
  }

  void checkEntry(const std::string &Path, const json::value &Entry) {
    if (!Entry.is_object())
      return add(Path, wrongTypeText("an object", Entry));
    const std::size_t Before = m_Errors.m_Errors.size();
    const json::object &Declared = Entry.get_object();
    checkDeclaration(Declared, [&](const std::string &SubPath, std::string Message) {
      add(Path + SubPath, std::move(Message));
    });
    if (m_Errors.m_Errors.size() != Before)
      return;
    std::string Name(Declared.at("name").get_string());
    if (!m_Names.insert(Name).second)
      return add(Path + ".name", "is the name of an earlier declaration");
    m_Declarations.push_back({std::move(Name), std::string(Declared.at("kind").get_string()),
                              Declared.at("spec").get_object()});
  }

  const JsonWithLines &m_Source;
  std::string_view m_FileName;
  std::set<std::string> m_Names;
};

} // namespace

leaf::result<std::vector<DeclarationText>> parseDeclarationFile(std::string_view Text,
                                                                std::string_view FileName) {
  JsonWithLines Source = parseJsonWithLines(Text);
  FileChecker Check(Source, FileName);
  Check.run();
  std::ranges::stable_sort(Check.m_Errors.m_Errors, {}, &SettingsError::m_Line);
  if (!Check.m_Errors.m_Errors.empty())
    return leaf::new_error(std::move(Check.m_Errors));
  return std::move(Check.m_Declarations);
}

leaf::result<std::vector<DeclarationText>> loadDeclarationFile(const std::string &FileName) {
  std::string FailureText;
  std::optional<std::string> Text = readFile(FileName, FailureText);
  if (!Text)
    return leaf::new_error(DeclarationErrors{{{FileName, 0, {}, std::move(FailureText)}}});
  return parseDeclarationFile(*Text, FileName);
}

std::vector<std::string> validateDeclaration(const DeclarationText &Declared) {
  std::vector<std::string> Messages;
  checkDeclaration(
      {{"name", Declared.m_Name}, {"kind", Declared.m_Kind}, {"spec", Declared.m_Spec}},
      [&](const std::string &SubPath, const std::string &Message) {
        Messages.push_back(SubPath.substr(1) + ": " + Message);
      });
  return Messages;
}

std::string declarationReference() {
  std::string Text;
  for (const SpecKind &Kind : specKinds()) {
    Text += "### Kind `" + std::string(Kind.m_Name) + "`\n\n" + std::string(Kind.m_Description) +
            "\n\n| key | type and range | needed | meaning |\n|---|---|---|---|\n";
    for (const SpecKey &Key : Kind.m_Keys)
      Text += "| `" + Key.m_Name + "` | " + Key.m_Type + " | " +
              (Key.m_IsRequired ? "required" : "optional") + " | " + Key.m_Description + " |\n";
    Text += "\n";
  }
  return Text;
}

} // namespace fescuegauge
