#include "Fescuegauge/Declaration.h"
#include "Json.h"

#include <array>
#include <charconv>

namespace fescuegauge {

namespace {

namespace json = boost::json;

struct DurationUnit {
  std::string_view m_Suffix;
  std::int64_t m_Microseconds;
};

/// In descending order, for formatDuration(). Parsing compares the complete suffix, so that "ms"
/// is not taken for "m".
constexpr std::array<DurationUnit, 5> DurationUnits{
    {{"h", 3'600'000'000}, {"m", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}}};

/// Longer durations are considered input errors; much larger ones could overflow.
constexpr Duration MaxTargetDuration = std::chrono::hours(24 * 7);

constexpr std::size_t MaxNameLength = 128;

/// Names are components of table keys; a slash in a name could make two keys equal.
bool isValidName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameLength)
    return false;
  for (char Character : Text)
    if (!((Character >= 'a' && Character <= 'z') || (Character >= 'A' && Character <= 'Z') ||
          (Character >= '0' && Character <= '9') || Character == '-' || Character == '_' ||
          Character == '.'))
      return false;
  return true;
}

/// Reads the fields of one JSON object and collects errors, including unknown keys.
class FieldReader {
public:
  FieldReader(const json::object &Object, std::string Path, std::vector<DeclarationError> &Errors)
      : m_Object(Object), m_Path(std::move(Path)), m_Errors(Errors) {}

  template <typename Id> void name(std::string_view Key, Id &Result, bool Required = true) {
    if (const json::value *Found = findField(Key, Required)) {
      if (!Found->is_string() || !isValidName(Found->get_string()))
        addError(Key, "expected a name of at most 128 letters, digits, '-', '_' and '.'");
      else
        Result = Id(std::string(Found->get_string()));
    }
  }
  void duration(std::string_view Key, std::optional<Duration> &Result) {
    if (const json::value *Found = findField(Key, false)) {
      auto Parsed = Found->is_string() ? parseDuration(Found->get_string()) : std::nullopt;
      if (!Parsed)
        addError(Key, "expected a duration such as \"2s\" or \"310ms\"");
      else if (*Parsed <= Duration::zero() || *Parsed > MaxTargetDuration)
        addError(Key, "expected a duration above 0 and at most 168h");
      else
        Result = Parsed;
    }
  }
  void boolean(std::string_view Key, bool &Result) {
    if (const json::value *Found = findField(Key, false)) {
      if (!Found->is_bool())
        addError(Key, "expected true or false");
      else
        Result = Found->get_bool();
    }
  }
  template <typename Number>
  void number(std::string_view Key, Number &Result, std::int64_t Min, std::int64_t Max) {
    if (const json::value *Found = findField(Key, false)) {
      if (!Found->is_int64() || Found->get_int64() < Min || Found->get_int64() > Max)
        addError(Key, "expected a whole number from " + std::to_string(Min) + " to " +
                          std::to_string(Max));
      else
        Result = static_cast<Number>(Found->get_int64());
    }
  }
  void digest(std::string_view Key, Digest &Result) {
    if (const json::value *Found = findField(Key, true)) {
      auto Parsed = Found->is_string() ? Digest::fromHex(Found->get_string()) : std::nullopt;
      if (!Parsed || Parsed->isZero())
        addError(Key, "expected a SHA-256 digest of 64 hexadecimal digits");
      else
        Result = *Parsed;
    }
  }
  template <typename Enum, std::size_t Count>
  void choice(std::string_view Key, Enum &Result, bool Required,
              const std::array<std::pair<std::string_view, Enum>, Count> &Choices) {
    const json::value *Found = findField(Key, Required);
    if (!Found)
      return;
    std::string Expected;
    for (const auto &[Name, Value] : Choices) {
      if (Found->is_string() && Found->get_string() == Name) {
        Result = Value;
        return;
      }
      Expected += (Expected.empty() ? "\"" : " or \"") + std::string(Name) + "\"";
    }
    addError(Key, "expected " + Expected);
  }
  void addError(std::string_view Key, std::string Message) {
    m_Errors.push_back({m_Path + "." + std::string(Key), std::move(Message)});
  }
  /// Adds an error for each key that was not requested.
  void reportUnknownKeys() {
    for (const auto &Member : m_Object)
      if (std::find(m_RequestedKeys.begin(), m_RequestedKeys.end(), Member.key()) ==
          m_RequestedKeys.end())
        addError(Member.key(), "unknown key");
  }
  const json::value *findField(std::string_view Key, bool Required) {
    m_RequestedKeys.emplace_back(Key);
    const json::value *Found = m_Object.if_contains(Key);
    if (!Found && Required)
      addError(Key, "missing");
    return Found;
  }

private:
  const json::object &m_Object;
  std::string m_Path;
  std::vector<DeclarationError> &m_Errors;
  std::vector<std::string> m_RequestedKeys;
};

constexpr std::array<std::pair<std::string_view, RolloutPreference>, 2> Preferences{
    {{"origin-bytes", RolloutPreference::OriginBytes}, {"time", RolloutPreference::Time}}};
constexpr std::array<std::pair<std::string_view, PromiseKind>, 2> Promises{
    {{"answerWithin", PromiseKind::AnswerWithin},
     {"firstTokenWithin", PromiseKind::FirstTokenWithin}}};

template <typename Enum, std::size_t Count>
std::string_view choiceName(Enum Value,
                            const std::array<std::pair<std::string_view, Enum>, Count> &Choices) {
  for (const auto &[Name, Candidate] : Choices)
    if (Candidate == Value)
      return Name;
  return {};
}

Declaration readService(FieldReader &Fields) {
  ServiceDeclaration Result;
  Fields.name("service", Result.m_Service);
  Fields.name("initialGeneration", Result.m_InitialGeneration);
  return Result;
}

Declaration readTarget(FieldReader &Fields) {
  TargetDeclaration Result;
  Fields.name("service", Result.m_Service);
  Fields.name("class", Result.m_Target.m_Class);
  Fields.duration("answerWithin", Result.m_Target.m_AnswerWithin);
  Fields.duration("firstTokenWithin", Result.m_Target.m_FirstTokenWithin);
  Fields.duration("staleAfter", Result.m_Target.m_StaleAfter);
  Fields.boolean("neverLost", Result.m_Target.m_NeverLost);
  Fields.boolean("nonIdempotent", Result.m_Target.m_NonIdempotent);
  Fields.number("priority", Result.m_Target.m_Priority, -100, 100);
  return Result;
}

Declaration readRollout(FieldReader &Fields) {
  RolloutDeclaration Result;
  Fields.name("service", Result.m_Service);
  Fields.name("generation", Result.m_Generation, false);
  Fields.name("version", Result.m_Version);
  Fields.digest("manifestRoot", Result.m_ManifestRoot);
  Fields.choice("prefer", Result.m_Prefer, false, Preferences);
  Fields.number("minimumServing", Result.m_MinimumServing, 0, 100'000);
  return Result;
}

Declaration readMove(FieldReader &Fields) {
  MoveDeclaration Result;
  Fields.name("service", Result.m_Service);
  Fields.name("class", Result.m_Class);
  Fields.name("from", Result.m_From);
  Fields.name("to", Result.m_To);
  Fields.name("holdClass", Result.m_HoldClass);
  Fields.choice("holdPromise", Result.m_HoldPromise, true, Promises);
  if (!Result.m_From.empty() && Result.m_From == Result.m_To)
    Fields.addError("to", "expected another generation than \"from\"");
  return Result;
}

json::object writeService(const ServiceDeclaration &Declared) {
  return {{"kind", "service"},
          {"service", Declared.m_Service.str()},
          {"initialGeneration", Declared.m_InitialGeneration.str()}};
}

json::object writeTarget(const TargetDeclaration &Declared) {
  const ClassTarget &Target = Declared.m_Target;
  json::object Result{
      {"kind", "target"}, {"service", Declared.m_Service.str()}, {"class", Target.m_Class.str()}};
  const std::array<std::pair<std::string_view, const std::optional<Duration> *>, 3> Durations{
      {{"answerWithin", &Target.m_AnswerWithin},
       {"firstTokenWithin", &Target.m_FirstTokenWithin},
       {"staleAfter", &Target.m_StaleAfter}}};
  for (const auto &[Key, Value] : Durations)
    if (*Value)
      Result[Key] = formatDuration(**Value);
  if (Target.m_NeverLost)
    Result["neverLost"] = true;
  if (Target.m_NonIdempotent)
    Result["nonIdempotent"] = true;
  if (Target.m_Priority != 0)
    Result["priority"] = Target.m_Priority;
  return Result;
}

json::object writeRollout(const RolloutDeclaration &Declared) {
  json::object Result{{"kind", "rollout"}, {"service", Declared.m_Service.str()}};
  if (!Declared.m_Generation.empty())
    Result["generation"] = Declared.m_Generation.str();
  Result["version"] = Declared.m_Version.str();
  Result["manifestRoot"] = Declared.m_ManifestRoot.hex();
  Result["prefer"] = choiceName(Declared.m_Prefer, Preferences);
  Result["minimumServing"] = Declared.m_MinimumServing;
  return Result;
}

json::object writeMove(const MoveDeclaration &Declared) {
  return {{"kind", "move"},
          {"service", Declared.m_Service.str()},
          {"class", Declared.m_Class.str()},
          {"from", Declared.m_From.str()},
          {"to", Declared.m_To.str()},
          {"holdClass", Declared.m_HoldClass.str()},
          {"holdPromise", choiceName(Declared.m_HoldPromise, Promises)}};
}

constexpr std::array<std::pair<std::string_view, Declaration (*)(FieldReader &)>, 4>
    DeclarationReaders{{{"service", readService},
                        {"target", readTarget},
                        {"rollout", readRollout},
                        {"move", readMove}}};

void readDeclaration(const json::value &Value, const std::string &Path,
                     ParsedDeclarations &Result) {
  if (!Value.is_object()) {
    Result.m_Errors.push_back({Path, "expected an object"});
    return;
  }
  FieldReader Fields(Value.get_object(), Path, Result.m_Errors);
  const json::value *Kind = Fields.findField("kind", true);
  if (!Kind)
    return;
  for (const auto &[Name, Read] : DeclarationReaders)
    if (Kind->is_string() && Kind->get_string() == Name) {
      std::size_t ErrorsBefore = Result.m_Errors.size();
      Declaration Declared = Read(Fields);
      Fields.reportUnknownKeys();
      if (Result.m_Errors.size() != ErrorsBefore)
        return;
      if (encodeDeclaration(Declared).size() > MaxDeclarationBytes)
        Result.m_Errors.push_back(
            {Path, "longer than " + std::to_string(MaxDeclarationBytes) + " bytes"});
      Result.m_Declarations.push_back(std::move(Declared));
      return;
    }
  Fields.addError("kind", "expected \"service\" or \"target\" or \"rollout\" or \"move\"");
}

std::optional<json::value> parseText(std::string_view Text, std::string_view Path,
                                     ParsedDeclarations &Result) {
  auto Parsed = parseJson(Text);
  if (!Parsed)
    Result.m_Errors.push_back({std::string(Path), "malformed JSON"});
  return Parsed;
}

struct DeclarationNameVisitor {
  std::string operator()(const ServiceDeclaration &Declared) const {
    return "service/" + Declared.m_Service.str();
  }
  std::string operator()(const TargetDeclaration &Declared) const {
    return "target/" + Declared.m_Service.str() + "/" + Declared.m_Target.m_Class.str();
  }
  std::string operator()(const RolloutDeclaration &Declared) const {
    std::string Result = "rollout/" + Declared.m_Service.str();
    return Declared.m_Generation.empty() ? Result : Result + "/" + Declared.m_Generation.str();
  }
  std::string operator()(const MoveDeclaration &Declared) const {
    return "move/" + Declared.m_Service.str() + "/" + Declared.m_Class.str();
  }
};

struct DeclarationJsonVisitor {
  json::object operator()(const ServiceDeclaration &Declared) const {
    return writeService(Declared);
  }
  json::object operator()(const TargetDeclaration &Declared) const { return writeTarget(Declared); }
  json::object operator()(const RolloutDeclaration &Declared) const {
    return writeRollout(Declared);
  }
  json::object operator()(const MoveDeclaration &Declared) const { return writeMove(Declared); }
};

} // namespace

std::optional<json::value> parseJson(std::string_view Text) {
  json::parse_options Options;
  Options.allow_comments = true;
  Options.max_depth = 16;
  json::error_code Error;
  json::value Result = json::parse(json::string_view(Text.data(), Text.size()), Error, {}, Options);
  if (Error)
    return {};
  return Result;
}

DeclarationName declarationName(const Declaration &Declared) {
  return DeclarationName(std::visit(DeclarationNameVisitor(), Declared));
}

std::string encodeDeclaration(const Declaration &Declared) {
  return json::serialize(std::visit(DeclarationJsonVisitor(), Declared));
}

ParsedDeclarations parseDeclarations(std::string_view Text) {
  ParsedDeclarations Result;
  auto Parsed = parseText(Text, "declarations", Result);
  if (!Parsed)
    return Result;
  if (!Parsed->is_array()) {
    Result.m_Errors.push_back({"declarations", "expected an array of objects"});
    return Result;
  }
  std::size_t Index = 0;
  for (const json::value &Element : Parsed->get_array()) {
    std::string Path = "declarations[" + std::to_string(Index++) + "]";
    std::size_t Before = Result.m_Declarations.size();
    readDeclaration(Element, Path, Result);
    for (std::size_t Other = 0; Other < Before && Before < Result.m_Declarations.size(); ++Other)
      if (declarationName(Result.m_Declarations[Other]) ==
          declarationName(Result.m_Declarations[Before]))
        Result.m_Errors.push_back(
            {Path, "declares " + declarationName(Result.m_Declarations[Before]).str() + " again"});
  }
  return Result;
}

ParsedDeclarations parseDeclaration(std::string_view Text, std::string_view Path) {
  ParsedDeclarations Result;
  if (auto Parsed = parseText(Text, Path, Result))
    readDeclaration(*Parsed, std::string(Path), Result);
  return Result;
}

std::optional<Duration> parseDuration(std::string_view Text) {
  std::int64_t Count = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Error != std::errc())
    return {};
  std::string_view Suffix = Text.substr(static_cast<std::size_t>(End - Text.data()));
  for (const DurationUnit &Unit : DurationUnits) {
    std::int64_t Result = 0;
    if (Suffix == Unit.m_Suffix && !__builtin_mul_overflow(Count, Unit.m_Microseconds, &Result))
      return Duration(Result);
  }
  return {};
}

std::string formatDuration(Duration Value) {
  for (const DurationUnit &Unit : DurationUnits)
    if (Value.count() % Unit.m_Microseconds == 0 && Value.count() != 0)
      return std::to_string(Value.count() / Unit.m_Microseconds) + std::string(Unit.m_Suffix);
  return "0s";
}

} // namespace fescuegauge
