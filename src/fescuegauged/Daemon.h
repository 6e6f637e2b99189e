#ifndef FESCUEGAUGE_FESCUEGAUGED_DAEMON_H
#define FESCUEGAUGE_FESCUEGAUGED_DAEMON_H

#include "Fescuegauge/EventLoop.h"
#include "Fescuegauge/Kernel.h"
#include "Fescuegauge/Settings.h"

namespace fescuegauge {

/// One process of the system: the event loop and the services that its role needs.
class Daemon {
public:
  explicit Daemon(Settings Configured);

  /// Starts the services, prints the ports on standard output and returns when the process was told
  /// to stop by SIGTERM or SIGINT and has drained. These signals must be blocked in all threads.
  int run();

private:
  void addServices();
  void announcePorts() const;
  /// Waits until nothing is in progress, the drain limit is over or a second signal arrives.
  void drain();

  const Settings m_Settings;
  const Incarnation m_Started;
  EventLoop m_Loop;
  Kernel m_Kernel;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_DAEMON_H
