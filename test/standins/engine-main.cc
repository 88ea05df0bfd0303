#include <CLI/CLI.hpp>
#include <cstdlib>

#include "engine.h"

namespace standin = bluebellpass::standin;

int main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  std::int64_t lag_ms = 0;
  standin::EngineOptions options;
  CLI::App app{"Stand-in for a model engine with continuous batching"};
  app.add_option("--listen", listen, "address, IP:PORT")->capture_default_str();
  app.add_option("--prefill-rate", options.prefill_rate, "prompt tokens per second");
  app.add_option("--decode-rate", options.decode_rate, "output tokens per second of a stream");
  app.add_option("--batch", options.batch, "streams beyond which the rate per stream falls");
  app.add_option("--time-scale", options.time_scale, "factor on both rates");
  app.add_option("--cache-tokens", options.cache_tokens, "memory of the prefix cache");
  app.add_option("--load-lag-ms", lag_ms, "age of load reports and cache events");
  app.add_flag("--check-fencing", options.is_checking_fencing, "refuse stale fencing numbers");
  app.add_option("--model", options.model, "model that is loaded at the start");
  CLI11_PARSE(app, argc, argv);
  options.load_lag = bluebellpass::Millis{lag_ms};
  bluebellpass::EventLoop loop;
  standin::Engine engine(loop, options);
  engine.OnCrash([] { std::_Exit(1); });
  return standin::RunUntilSignal(loop, engine.Listen(standin::ParseAddressFlag(listen)));
}
