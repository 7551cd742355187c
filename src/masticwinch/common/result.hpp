#pragma once

/// Keeps the checking macros within standard C++.
#define BOOST_LEAF_CFG_GNUC_STMTEXPR 0
#include <boost/leaf/result.hpp>

namespace masticwinch {

/// A value, or an error whose details are error objects of the layer that
/// returned it, handled with the functions of Boost.LEAF.
template <class Value> using Result = boost::leaf::result<Value>;

} // namespace masticwinch
