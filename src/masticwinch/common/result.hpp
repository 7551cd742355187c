#pragma once

/// Makes the Boost.LEAF macros use standard C++ instead of GNU statement
/// expressions.
#define BOOST_LEAF_CFG_GNUC_STMTEXPR 0
#include <boost/leaf/result.hpp>

namespace masticwinch {

/// A value or an error. The error objects are defined by the layer that returns
/// them and are handled with Boost.LEAF.
template <class Value> using Result = boost::leaf::result<Value>;

} // namespace masticwinch
