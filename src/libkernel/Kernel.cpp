#include "Fescuegauge/Kernel.h"

#include <algorithm>

namespace fescuegauge {

Kernel::~Kernel() {
  while (!m_Services.empty())
    m_Services.pop_back();
}

void Kernel::add(std::unique_ptr<Service> Added) {
  if (findService(Added->name()))
    throw std::logic_error("service \"" + Added->name() + "\" was added twice");
  m_Services.push_back(std::move(Added));
}

void Kernel::start() {
  for (; m_Started < m_Services.size(); ++m_Started)
    m_Services[m_Started]->start(*this);
}

void Kernel::beginDrain() {
  for (const auto &Entry : m_Services)
    Entry->beginDrain();
}

bool Kernel::isDrained() const {
  return std::all_of(m_Services.begin(), m_Services.end(),
                     [](const auto &Entry) { return Entry->isDrained(); });
}

void Kernel::stop() {
  for (std::size_t I = 0; I < m_Started; ++I)
    m_Services[I]->interruptWork();
  while (m_Started > 0)
    m_Services[--m_Started]->stop();
}

std::vector<std::string> Kernel::notReadyReasons() const {
  std::vector<std::string> Reasons;
  for (const auto &Entry : m_Services)
    if (std::string Reason = Entry->notReadyReason(); !Reason.empty())
      Reasons.push_back(Entry->name() + ": " + Reason);
  return Reasons;
}

boost::json::object Kernel::dumpState() const {
  boost::json::object State;
  for (const auto &Entry : m_Services)
    State[Entry->name()] = Entry->dumpState();
  return State;
}

Service *Kernel::findService(std::string_view Name) const {
  for (const auto &Entry : m_Services)
    if (Entry->name() == Name)
      return Entry.get();
  return nullptr;
}

} // namespace fescuegauge
