// Compiles Boost.JSON, in this translation unit only.
#include <boost/json/src.hpp>
