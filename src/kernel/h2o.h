#pragma once

/// Includes h2o's C headers and suppresses the compiler warnings that they cause.

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wsign-compare"
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
}
#pragma GCC diagnostic pop
