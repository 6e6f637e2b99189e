#ifndef FESCUEGAUGE_FESCUEGAUGED_DAEMON_H
#define FESCUEGAUGE_FESCUEGAUGED_DAEMON_H

#include "Fescuegauge/EventLoop.h"
#include "Fescuegauge/Kernel.h"
#include "Fescuegauge/Settings.h"

namespace fescuegauge {

/// One process of the system: the event loop and the services that its role requires.
class Daemon {
public:
  explicit Daemon(Settings Configured);

  /// Starts the services, prints the listening ports to standard output, and drains and stops on
  /// SIGTERM or SIGINT. Returns the exit code. These signals must be blocked in all threads.
  int run();

private:
  void addServices();
  void printPorts() const;
  /// Waits until no work is in progress, the drain limit has passed or a second signal arrives.
  void drain();

  const Settings m_Settings;
  const Incarnation m_OwnIncarnation;
  EventLoop m_Loop;
  Kernel m_Kernel;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_DAEMON_H
