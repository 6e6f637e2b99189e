#ifndef FESCUEGAUGE_FESCUEGAUGED_OPERATORSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_OPERATORSERVICE_H

#include "DeclarationSpec.h"
#include "HttpService.h"
#include "TargetsService.h"

#include <map>

namespace fescuegauge {

/// Service "operator": the operators' HTTP interface of an entry instance, and the handler of state
/// queries from other processes.
class OperatorService : public Service {
public:
  /// Maximum number of changes in one page of the history.
  static constexpr std::size_t MaxHistoryPage = 64;

  OperatorService(const Settings &Configured, EventLoop &Loop)
      : Service("operator"), m_Settings(Configured), m_Loop(Loop) {}

  void start(Kernel &Services) override;

private:
  std::string encodeConfirmation(const InstanceId &Agent) const;

  // Called by HTTP threads.
  void serveTargets(HttpExchange &Exchange);
  void serveChange(HttpExchange &Exchange);
  void serveHistory(HttpExchange &Exchange);
  void serveStatus(HttpExchange &Exchange);
  void serveDump(HttpExchange &Exchange);
  bool parsePut(HttpExchange &Exchange, const boost::json::value &Value,
                std::vector<DeclarationEdit> &Edits);
  DeclarationName findDeclarationName(const std::string &Name) const;
  std::optional<Digest> publishManifest(const DeclarationSpec &Spec);
  void sendOutcome(HttpExchange &Exchange, const ChangeRequest &Request,
                   const ChangeOutcome &Outcome);
  boost::json::array findConflicts(const ChangeRequest &Request);
  std::optional<TableRow> readRow(const std::string &Key);

  boost::json::object rolloutStatus(const RolloutDeclaration &Rollout, ChangeNumber SetBy,
                                    const DataCentreId &DataCentre) const;

  const Settings &m_Settings;
  EventLoop &m_Loop;
  Kernel *m_Kernel = nullptr;
  PlatformService *m_Platform = nullptr;
  MembershipService *m_Membership = nullptr;
  TargetsService *m_Targets = nullptr;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_OPERATORSERVICE_H
