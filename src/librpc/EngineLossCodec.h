#ifndef FESCUEGAUGE_LIBRPC_ENGINELOSSCODEC_H
#define FESCUEGAUGE_LIBRPC_ENGINELOSSCODEC_H

#include "CapnpText.h"
#include "Fescuegauge/RpcNode.h"
#include "Peer.capnp.h"
#include "SuspectCodec.h"

namespace fescuegauge {

inline void encodeLoss(const EngineLoss &Loss, rpc::EngineLoss::Builder Out) {
  Out.setEngineIncarnation(Loss.m_EngineIncarnation.value());
  auto Unstarted = Out.initUnstarted(static_cast<unsigned>(Loss.m_Unstarted.size()));
  for (unsigned I = 0; I < Unstarted.size(); ++I)
    encode(Loss.m_Unstarted[I], Unstarted[I]);
}

inline EngineLoss decodeLoss(rpc::EngineLoss::Reader In) {
  EngineLoss Loss;
  Loss.m_EngineIncarnation = Incarnation(In.getEngineIncarnation());
  for (auto Request : In.getUnstarted())
    Loss.m_Unstarted.push_back(decodeSuspectRequest(Request));
  return Loss;
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBRPC_ENGINELOSSCODEC_H
