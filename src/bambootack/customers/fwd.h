#ifndef BAMBOOTACK_CUSTOMERS_FWD_H_
#define BAMBOOTACK_CUSTOMERS_FWD_H_

namespace bambootack::customers {

struct Customer;
class Directory;
class KeyConfirmation;

}  // namespace bambootack::customers

#endif  // BAMBOOTACK_CUSTOMERS_FWD_H_
