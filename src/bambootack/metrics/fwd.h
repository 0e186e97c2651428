#ifndef BAMBOOTACK_METRICS_FWD_H_
#define BAMBOOTACK_METRICS_FWD_H_

namespace bambootack::metrics {

struct Gauges;
class Registry;
class TimeHistogram;

}  // namespace bambootack::metrics

#endif  // BAMBOOTACK_METRICS_FWD_H_
