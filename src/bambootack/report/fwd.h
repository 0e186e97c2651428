#ifndef BAMBOOTACK_REPORT_FWD_H_
#define BAMBOOTACK_REPORT_FWD_H_

namespace bambootack::report {

class Value;

}  // namespace bambootack::report

#endif  // BAMBOOTACK_REPORT_FWD_H_
