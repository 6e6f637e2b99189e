#include "RolloutDriver.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

using namespace fescuegauge;
using namespace fescuegauge::driver;

int main(int Argc, char **Argv) {
  std::size_t N = Argc > 1 ? std::strtoul(Argv[1], nullptr, 10) : 100;
  for (bool Four : {false, true})
    for (auto Pref : {TransferPreference::OriginBytes, TransferPreference::Time}) {
      auto Start = std::chrono::steady_clock::now();
      DriverSettings S;
      S.m_Sites = Four ? fourSites() : threeSites();
      S.m_Instances = N;
      S.m_Chunks = 128; S.m_SharedChunks = getenv("SH") != nullptr;
      S.m_Preference = Pref;
      Driver D(S);
      D.startServing(1);
      D.run(std::chrono::seconds(20));
      auto T0 = D.queue().now();
      D.issue(2);
      double Half=0, All=0; for (int I=0;I<4000 && All==0;++I){ D.run(std::chrono::milliseconds(250)); double X=D.stagedShare(); if(X>=0.5&&Half==0) Half=toSeconds(D.queue().now()-T0); if(X>=1)All=toSeconds(D.queue().now()-T0);}
 std::cout<<"half="<<Half<<" all="<<All<<' ';bool Ok = D.runUntilConverged(std::chrono::seconds(2000));
      double T = toSeconds(D.queue().now() - T0);
      std::cout << "four=" << Four << " time=" << (Pref == TransferPreference::Time) << " ok=" << Ok
                << " t=" << T << " copies=" << D.originCopies() << " region="
                << static_cast<double>(D.regionBytes()) /
                       static_cast<double>(D.versionSize().count())
                << " ctl=" << D.controlBytesPerSecond() << " viol=" << D.violations() << ' '
                << D.firstViolation() << " wall="
                << std::chrono::duration<double>(std::chrono::steady_clock::now() - Start).count()
                << std::endl;
      if (!Ok)
        std::cout << D.pending();
    }
}
