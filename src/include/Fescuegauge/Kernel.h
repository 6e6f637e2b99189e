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

/// A part of the daemon with a life of its own. Services find each other by name through the kernel
/// and use only each other's public classes.
class Service {
public:
  explicit Service(std::string Name) : m_Name(std::move(Name)) {}
  virtual ~Service() = default;
  Service(const Service &) = delete;
  Service &operator=(const Service &) = delete;

  const std::string &name() const { return m_Name; }

  /// Called once, in the order in which services were added.
  virtual void start(Kernel &Services) = 0;
  /// Takes no new work from now on; work under way goes on.
  virtual void beginDrain() {}
  /// True when no work is under way.
  virtual bool isDrained() const { return true; }
  /// Called once, in the reverse of the order of start.
  virtual void stop() {}
  /// Empty when the service can do its work, else the reason why it cannot.
  virtual std::string notReadyReason() const { return {}; }
  /// The whole state of the service, for a dump.
  virtual boost::json::object dumpState() const { return {}; }

private:
  std::string m_Name;
};

/// Owns the services of a process, starts and stops them, and finds them by name.
class Kernel {
public:
  Kernel() = default;
  /// Destroys the services in the reverse of the order in which they were added.
  ~Kernel();
  Kernel(const Kernel &) = delete;
  Kernel &operator=(const Kernel &) = delete;

  /// Adds a service before start(). Throws std::logic_error if the name is taken.
  void add(std::unique_ptr<Service> Added);

  /// The service with that name and type. Throws std::logic_error if there is none.
  template <typename T> T &find(std::string_view Name) const {
    auto *Found = dynamic_cast<T *>(findService(Name));
    if (!Found)
      throw std::logic_error("no service \"" + std::string(Name) + "\" of the requested type");
    return *Found;
  }

  void start();
  void beginDrain();
  bool isDrained() const;
  /// Stops every service that was started, last first.
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
