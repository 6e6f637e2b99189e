#ifndef FESCUEGAUGE_CONFIGURATION_H
#define FESCUEGAUGE_CONFIGURATION_H

#include "Fescuegauge/Declaration.h"
#include "Fescuegauge/Table.h"

#include <map>
#include <memory>

namespace fescuegauge {

/// One edit of a change: sets the declaration of that name, or deletes it when there is none.
struct DeclarationEdit {
  DeclarationName m_Name;
  std::optional<Declaration> m_Declaration;
};

/// One accepted change, as the row `config/change/NUMBER` keeps it.
struct Change {
  ChangeNumber m_Number;
  ChangeId m_Id;
  /// Who made the change; shown to an operator whose own change is refused.
  std::string m_Author;
  std::vector<DeclarationEdit> m_Edits;
  /// Digest of the whole configuration after the change.
  Digest m_ResultDigest;

  std::string encode() const;
  static std::optional<Change> decode(std::string_view Text);
  /// One line such as "change 7 by ana: set target/pedidos/confirmation, deleted
  /// rollout/asistente".
  std::string summary() const;
};

/// The row `config/head`.
struct ConfigurationHead {
  /// Change ids that the head remembers, so that a change sent again through another instance is
  /// recognised. Older ones are recognised by their contents: nothing is left to change.
  static constexpr std::size_t MaxRecentIds = 32;

  ChangeNumber m_Number;
  ChangeId m_ChangeId;
  /// Number of the newest row `config/snapshot/NUMBER`; 0 if there is none.
  ChangeNumber m_Snapshot;
  /// The last changes, newest first, the head's own included.
  std::vector<std::pair<ChangeId, ChangeNumber>> m_Recent;

  std::string encode() const;
  /// An empty text is the head of a table without changes.
  static std::optional<ConfigurationHead> decode(std::string_view Text);
};

/// Keys of the rows that hold the configuration.
inline const std::string ConfigurationHeadKey = "config/head";
std::string changeKey(ChangeNumber Number);
std::string snapshotKey(ChangeNumber Number);

/// A declaration with its canonical text, shared between copies of a configuration.
struct StoredDeclaration {
  Declaration m_Declaration;
  std::string m_Text;
};

/// One name in a configuration.
struct ConfigurationEntry {
  /// Null for a tombstone, which records that the name was deleted.
  std::shared_ptr<const StoredDeclaration> m_Stored;
  /// The change that set or deleted it.
  ChangeNumber m_SetBy;
  /// Digest of name, change number and text.
  Digest m_Digest;
};

/// One entry as it travels between processes. An empty text is a tombstone.
struct WireEntry {
  DeclarationName m_Name;
  ChangeNumber m_SetBy;
  std::string m_Text;
};

/// The declarations in force after one change. A value: applying a change gives a new one.
///
/// Tombstones disappear TombstoneLife changes after the deletion. That depends on the number alone,
/// so processes with equal numbers have equal contents and digests.
class Configuration {
public:
  /// Changes after which a tombstone is dropped; a delta over more changes is a full copy.
  static constexpr std::uint64_t TombstoneLife = 256;
  /// Names, tombstones included, beyond which a change is refused.
  static constexpr std::size_t MaxEntries = 4096;
  /// Edits in one change.
  static constexpr std::size_t MaxEdits = 128;
  /// Every change with a number divisible by this also writes `config/snapshot/NUMBER`.
  static constexpr std::uint64_t SnapshotInterval = 16;

  ChangeNumber number() const { return m_Number; }
  /// Over the number and all entries.
  const Digest &digest() const { return m_Digest; }
  const std::map<DeclarationName, ConfigurationEntry> &entries() const { return m_Entries; }

  /// The declaration of that name; null if there is none.
  const Declaration *find(const DeclarationName &Name) const;
  /// All declarations of one kind, in order of name.
  template <typename Kind> std::vector<const Kind *> all() const {
    std::vector<const Kind *> Result;
    for (const auto &[Name, Entry] : m_Entries)
      if (Entry.m_Stored)
        if (const auto *Found = std::get_if<Kind>(&Entry.m_Stored->m_Declaration))
          Result.push_back(Found);
    return Result;
  }
  /// The target of a class of work; null if none is declared.
  const ClassTarget *target(const ServiceId &Service, const WorkClassId &Class) const;

  /// The edits that would change something.
  std::vector<DeclarationEdit> effective(std::span<const DeclarationEdit> Edits) const;
  /// The configuration after change number()+1 with these edits.
  Configuration after(std::span<const DeclarationEdit> Edits) const;

  /// True when a delta since that number must be a full copy, because deletions between may have
  /// been forgotten.
  bool needsFullCopy(ChangeNumber Since) const;
  /// Entries set after `Since` with a name greater than `AfterName`, in order of name, of at most
  /// `MaxBytes` in all but at least one. `More` tells whether there are further ones.
  std::vector<WireEntry> entriesSince(ChangeNumber Since, const DeclarationName &AfterName,
                                      std::size_t MaxBytes, bool &More) const;
  /// The configuration `To` that results from entries newer than this one; nothing when an entry
  /// is malformed or set after `To`. With `FullCopy` the entries replace all present ones.
  std::optional<Configuration> with(std::span<const WireEntry> Entries, ChangeNumber To,
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
