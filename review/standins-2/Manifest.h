// The manifest that the cases put into force.
#ifndef REVIEW_STANDINS_2_MANIFEST_H
#define REVIEW_STANDINS_2_MANIFEST_H

#include <string>

namespace rig {

// One service of runners with a model, one plain service, and a route of each kind.
inline std::string manifest(int Version = 3) {
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[
{"name":"quote-draft","host":"quotes.example","prefix":"/quotes/","routeKind":"streaming","timeoutMs":6000,"targetLatencyMs":500,"priority":1,"service":"asistente","maxAttempts":2,"public":false,"stickySessions":true,"streamResumption":true,"targetGapMs":400},
{"name":"purchase-confirm","host":"orders.example","prefix":"/orders/","routeKind":"non_idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"pedidos","maxAttempts":1,"public":false},
{"name":"stock-check","host":"orders.example","prefix":"/stock/","routeKind":"idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"pedidos","maxAttempts":2,"public":false}],
"services":[
{"name":"asistente","healthPath":"/health","connectionLimit":364,"protocol":"h1","tls":false,"inferenceEngine":{"slots":16,"kvCacheTokens":1180000,"kvTokenBytes":163840,"linkMbps":400000.0,"stride":5,"models":[{"name":"m0","pace":1.0,"loadS":4.0,"warmUpS":0.3}],"sizeMb":266000.0,"step_ms":8.87,"per_seq_ms":0.0388,"context_per_k":0.0227,"read_per_s":19100.0,"pairs_per_m":1.47,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":977,"answer":94},"layers":16,"layer_mb":4540.0,"act_bytes":16384,"chunks":96,"chunkBytes":24576}},
{"name":"pedidos","healthPath":"/health","connectionLimit":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"coop-a","apiKeys":["key-a"],"priority":1},{"name":"coop-b","apiKeys":["key-b"],"priority":1}]})";
}

} // namespace rig

#endif // REVIEW_STANDINS_2_MANIFEST_H
