#ifndef FESCUEGAUGE_LIBRPC_ENGINELOSSCODEC_H
#define FESCUEGAUGE_LIBRPC_ENGINELOSSCODEC_H

#include "CapnpText.h"
#include "Fescuegauge/RpcNode.h"
#include "Peer.capnp.h"

namespace fescuegauge {

inline void encodeLoss(const EngineLoss &Loss, rpc::EngineLoss::Builder Out) {
  Out.setEngineIncarnation(Loss.m_EngineIncarnation.value());
  auto Running = Out.initRunning(static_cast<unsigned>(Loss.m_Running.size()));
  for (unsigned I = 0; I < Running.size(); ++I) {
    Running[I].setAccount(Loss.m_Running[I].m_Account.str());
    Running[I].setBodyDigest(dataOf(Loss.m_Running[I].m_BodyDigest));
  }
}

inline EngineLoss decodeLoss(rpc::EngineLoss::Reader In) {
  EngineLoss Loss;
  Loss.m_EngineIncarnation = Incarnation(In.getEngineIncarnation());
  for (auto Running : In.getRunning())
    Loss.m_Running.push_back(
        {ClientAccountId(stringOf(Running.getAccount())), digestOf(Running.getBodyDigest())});
  return Loss;
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBRPC_ENGINELOSSCODEC_H
