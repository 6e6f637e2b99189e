#ifndef FESCUEGAUGE_KERNEL_H
#define FESCUEGAUGE_KERNEL_H

#include <boost/json/object.hpp>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

class Kernel;

/// A component of the daemon with its own lifecycle. Services look each other up by name in the
/// kernel and use only each other's public interfaces.
class Service {
public:
  explicit Service(std::string Name) : m_Name(std::move(Name)) {}
  virtual ~Service() = default;
  Service(const Service &) = delete;
  Service &operator=(const Service &) = delete;

  const std::string &name() const { return m_Name; }

  /// Called once, in the order in which the services were added.
  virtual void start(Kernel &Services) = 0;
  /// Stops accepting new work; work in progress continues.
  virtual void beginDrain() {}
  /// True when no work is in progress.
  virtual bool isDrained() const { return true; }
  /// Called once before any service stops. Ends the work in progress with an outcome for each
  /// caller.
  virtual void interruptWork() {}
  /// Called once, in the reverse of the start order.
  virtual void stop() {}
  /// Why the service is not ready; empty if it is.
  virtual std::string notReadyReason() const { return {}; }
  /// The complete state of the service, for diagnostic dumps.
  virtual boost::json::object dumpState() const { return {}; }

private:
  std::string m_Name;
};

/// Owns the services of a process, starts and stops them, and looks them up by name.
class Kernel {
public:
  Kernel() = default;
  /// Destroys the services in the reverse of the order in which they were added.
  ~Kernel();
  Kernel(const Kernel &) = delete;
  Kernel &operator=(const Kernel &) = delete;

  /// Must be called before start(). Throws std::logic_error if the name is already in use.
  void add(std::unique_ptr<Service> Added);

  /// Returns the service with that name and type. Throws std::logic_error if there is none.
  template <typename T> T &find(std::string_view Name) const {
    auto *Found = dynamic_cast<T *>(findService(Name));
    if (!Found)
      throw std::logic_error("no service \"" + std::string(Name) + "\" of the requested type");
    return *Found;
  }

  void start();
  void beginDrain();
  bool isDrained() const;
  /// Stops the started services in reverse order.
  void stop();

  /// One line for each service that is not ready: "name: reason".
  std::vector<std::string> notReadyReasons() const;
  /// The state of every service under its name.
  boost::json::object dumpState() const;

private:
  Service *findService(std::string_view Name) const;

  std::vector<std::unique_ptr<Service>> m_Services;
  std::size_t m_Started = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_KERNEL_H
