#ifndef FESCUEGAUGE_CONFIGURATION_H
#define FESCUEGAUGE_CONFIGURATION_H

#include "Fescuegauge/Declaration.h"
#include "Fescuegauge/Table.h"

#include <algorithm>
#include <map>
#include <memory>

namespace fescuegauge {

/// One edit of a change: sets the declaration of that name, or deletes it if m_Declaration is
/// nullopt.
struct DeclarationEdit {
  DeclarationName m_Name;
  std::optional<Declaration> m_Declaration;
};

/// One accepted change, as stored in the row `config/change/NUMBER`.
struct Change {
  ChangeNumber m_Number;
  ChangeId m_Id;
  /// Shown to an operator whose concurrent change is refused.
  std::string m_Author;
  std::vector<DeclarationEdit> m_Edits;
  /// Digest of the complete configuration after the change.
  Digest m_ResultDigest;

  std::string encode() const;
  static std::optional<Change> decode(std::string_view Text);
  /// One line such as "change 7 by ana: set target/pedidos/confirmation, deleted
  /// rollout/asistente".
  std::string summary() const;
};

/// The row `config/head`.
struct ConfigurationHead {
  /// Number of change ids that the head keeps to detect a change that is retried through another
  /// instance. A retry of an older change is detected by its edits, which no longer differ.
  static constexpr std::size_t MaxRecentIds = 32;

  ChangeNumber m_Number;
  ChangeId m_ChangeId;
  /// Epoch of the table in which the head was written. In a later epoch the table may lack changes
  /// that are in force, until a replica has written the head again.
  StoreEpoch m_Epoch;
  /// Number of the newest row `config/snapshot/NUMBER`; 0 if there is none.
  ChangeNumber m_Snapshot;
  /// The last changes, newest first, including the head's own.
  std::vector<std::pair<ChangeId, ChangeNumber>> m_Recent;

  std::string encode() const;
  /// Whether the table was restored from an older copy since the head, which was read at
  /// `Position`, was written. A table without a head may have lost it.
  bool isRestored(const TablePosition &Position) const {
    return std::max(m_Epoch, FirstStoreEpoch) < Position.m_Epoch;
  }
  /// Returns the head of a table without changes for an empty text.
  static std::optional<ConfigurationHead> decode(std::string_view Text);
};

/// Keys of the rows that hold the configuration.
inline const std::string ConfigurationHeadKey = "config/head";
std::string changeKey(ChangeNumber Number);
std::string snapshotKey(ChangeNumber Number);

/// A declaration and its canonical text, shared between copies of a configuration.
struct StoredDeclaration {
  Declaration m_Declaration;
  std::string m_Text;
};

/// The state of one declaration name in a configuration.
struct ConfigurationEntry {
  /// Null for a tombstone, which records that the name was deleted.
  std::shared_ptr<const StoredDeclaration> m_Stored;
  /// The change that last set or deleted the declaration.
  ChangeNumber m_SetBy;
  /// Digest of name, change number and text.
  Digest m_Digest;
};

/// One entry as transferred between processes. An empty text is a tombstone.
struct WireEntry {
  DeclarationName m_Name;
  ChangeNumber m_SetBy;
  std::string m_Text;
};

/// The declarations in force after one change. Value type: applying a change returns a new object.
///
/// Tombstones are dropped TombstoneLifetimeChanges changes after the deletion. This depends only on
/// the change number, so that processes with equal numbers have equal contents and digests.
class Configuration {
public:
  /// Number of changes after which a tombstone is dropped; a delta over this many changes or more
  /// is a full copy.
  static constexpr std::uint64_t TombstoneLifetimeChanges = 256;
  /// Maximum number of names including tombstones; a change that exceeds it is refused.
  static constexpr std::size_t MaxEntries = 4096;
  /// Maximum number of edits in one change.
  static constexpr std::size_t MaxEdits = 128;
  /// Every change whose number is a multiple of this also writes `config/snapshot/NUMBER`.
  static constexpr std::uint64_t SnapshotInterval = 16;

  ChangeNumber number() const { return m_Number; }
  /// Digest of the number and all entries.
  const Digest &digest() const { return m_Digest; }
  const std::map<DeclarationName, ConfigurationEntry> &entries() const { return m_Entries; }

  /// Returns null if there is no declaration of that name.
  const Declaration *find(const DeclarationName &Name) const;
  /// Returns all declarations of one kind, in order of name.
  template <typename Kind> std::vector<const Kind *> all() const {
    std::vector<const Kind *> Result;
    for (const auto &[Name, Entry] : m_Entries)
      if (Entry.m_Stored)
        if (const auto *Found = std::get_if<Kind>(&Entry.m_Stored->m_Declaration))
          Result.push_back(Found);
    return Result;
  }
  /// Returns the target of a work class; null if none is declared.
  const ClassTarget *target(const ServiceId &Service, const WorkClassId &Class) const;

  /// Returns the edits that differ from the current contents.
  std::vector<DeclarationEdit> effectiveEdits(std::span<const DeclarationEdit> Edits) const;
  /// Returns the configuration after change number() + 1 with these edits.
  Configuration withEdits(std::span<const DeclarationEdit> Edits) const;
  /// Returns the same declarations under a later number.
  Configuration withNumber(ChangeNumber Number) const;

  /// Returns true if a delta since `Since` must be a full copy, because tombstones of deletions
  /// after it may have been dropped.
  bool needsFullCopy(ChangeNumber Since) const;
  /// Returns the entries set after `Since` with a name greater than `AfterName`, in order of name:
  /// at most `MaxBytes` in total, but at least one entry. Sets `More` if further entries remain.
  std::vector<WireEntry> entriesSince(ChangeNumber Since, const DeclarationName &AfterName,
                                      std::size_t MaxBytes, bool &More) const;
  /// Returns the configuration with number `To` that results from applying newer entries to this
  /// one; nullopt if an entry is malformed or set after `To`, or if there are too many entries.
  /// With `FullCopy` the entries replace all existing ones.
  std::optional<Configuration> withEntries(std::span<const WireEntry> Entries, ChangeNumber To,
                                           bool FullCopy) const;

  std::string encodeSnapshot() const;
  static std::optional<Configuration> decodeSnapshot(std::string_view Text);

private:
  void set(const DeclarationName &Name, std::shared_ptr<const StoredDeclaration> Stored,
           ChangeNumber SetBy);
  void finish(ChangeNumber Number);

  ChangeNumber m_Number;
  Digest m_Digest;
  std::map<DeclarationName, ConfigurationEntry> m_Entries;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CONFIGURATION_H
