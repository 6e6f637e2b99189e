#ifndef FESCUEGAUGE_LIBRPC_SUSPECTCODEC_H
#define FESCUEGAUGE_LIBRPC_SUSPECTCODEC_H

#include "CapnpText.h"
#include "Fescuegauge/CrashSuspects.h"
#include "Peer.capnp.h"

#include <algorithm>

namespace fescuegauge {

inline void encode(const SuspectKey &Key, rpc::SuspectKey::Builder Out) {
  Out.setKind(static_cast<std::uint8_t>(Key.m_Kind));
  Out.setId(Key.m_Id);
}

inline SuspectKey decodeSuspectKey(rpc::SuspectKey::Reader In) {
  return {In.getKind() == 0 ? SuspectKey::Kind::Request : SuspectKey::Kind::PromptPart,
          stringOf(In.getId())};
}

template <typename Message> void encodeKeys(const std::vector<SuspectKey> &Keys, Message Out) {
  auto List = Out.initKeys(static_cast<unsigned>(Keys.size()));
  for (unsigned I = 0; I < List.size(); ++I)
    encode(Keys[I], List[I]);
}

/// Sorts the keys, as the comparisons of CrashSuspects require.
template <typename Message> std::vector<SuspectKey> decodeKeys(Message In) {
  std::vector<SuspectKey> Keys;
  for (auto Key : In.getKeys())
    Keys.push_back(decodeSuspectKey(Key));
  std::sort(Keys.begin(), Keys.end());
  Keys.erase(std::unique(Keys.begin(), Keys.end()), Keys.end());
  return Keys;
}

inline void encode(const SuspectRequest &Request, rpc::SuspectRequest::Builder Out) {
  Out.setAccount(Request.m_Account.str());
  encodeKeys(Request.m_Keys, Out);
}

inline SuspectRequest decodeSuspectRequest(rpc::SuspectRequest::Reader In) {
  return {ClientAccountId(stringOf(In.getAccount())), decodeKeys(In)};
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBRPC_SUSPECTCODEC_H
