#ifndef FESCUEGAUGE_PLATFORM_H
#define FESCUEGAUGE_PLATFORM_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Table.h"
#include "Fescuegauge/Units.h"

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>
#include <vector>

namespace fescuegauge {

/// The platform's transactional table. Calls block until the answer or a timeout. Reads may return
/// stale rows; conditions of transactions are checked against current ones. Failures carry
/// ErrorKind::TableUnreachable.
class Table {
public:
  virtual ~Table() = default;
  virtual CommitResult transact(const Transaction &Request) = 0;
  virtual boost::leaf::result<TableRow> read(const std::string &Key) = 0;
  /// At most `Limit` rows whose keys start with `Prefix` and come after `After`, in key order.
  virtual boost::leaf::result<std::vector<TableRow>>
  scan(const std::string &Prefix, const std::string &After, std::size_t Limit) = 0;
};

/// The platform's object store. Failures carry ErrorKind::TableUnreachable.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;
  virtual boost::leaf::result<void> put(const std::string &Name, const std::string &Content) = 0;
  virtual boost::leaf::result<std::string> get(const std::string &Name) = 0;
};

/// The rate-limited origin of weights. Failures carry ErrorKind::PeerUnreachable.
class Origin {
public:
  virtual ~Origin() = default;
  /// The manifest in the origin's JSON form.
  virtual boost::leaf::result<std::string> manifest(const ServiceId &Service,
                                                    const ModelVersionId &Version) = 0;
  virtual boost::leaf::result<std::string> chunk(const Digest &Chunk, Bytes Size) = 0;
};

/// The platform's list of live and leaving instances, which may be out of date. Failures carry
/// ErrorKind::PeerUnreachable.
class InstanceList {
public:
  virtual ~InstanceList() = default;
  virtual boost::leaf::result<std::vector<InstanceRecord>> list() = 0;
};

/// HTTP/1.1 clients with JSON bodies. Each call uses a new connection; `Timeout` applies to
/// connecting and to each send and receive.
std::unique_ptr<Table> makeHttpTable(const Endpoint &Server, Duration Timeout);
std::unique_ptr<ObjectStore> makeHttpObjectStore(const Endpoint &Server, Duration Timeout);
std::unique_ptr<Origin> makeHttpOrigin(const Endpoint &Server, Duration Timeout);
std::unique_ptr<InstanceList> makeHttpInstanceList(const Endpoint &Server, Duration Timeout);

} // namespace fescuegauge

#endif // FESCUEGAUGE_PLATFORM_H
