#ifndef BAMBOOTACK_CUSTOMERS_CUSTOMER_H_
#define BAMBOOTACK_CUSTOMERS_CUSTOMER_H_

#include <string>
#include <vector>

namespace bambootack::customers {

/// @brief Customer whose callers identify themselves with an API key.
struct Customer {
  std::string name;
  std::vector<std::string> keys;
  int rank = 0;        ///< 0 is the most urgent. Compared before the route's.
  double rate = 0.0;   ///< Requests per second of the whole fleet; 0: no limit.
  double burst = 0.0;  ///< Requests beyond the rate at one moment.

  friend bool operator==(const Customer&, const Customer&) = default;
};

}  // namespace bambootack::customers

#endif  // BAMBOOTACK_CUSTOMERS_CUSTOMER_H_
