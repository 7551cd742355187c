#!/usr/bin/env python3
"""Tests of tools/check-library-macros."""

import importlib.machinery
import importlib.util
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def load_tool():
    """Returns the tool as a module."""
    sys.dont_write_bytecode = True
    loader = importlib.machinery.SourceFileLoader(
        "check_library_macros", str(ROOT / "tools" / "check-library-macros"))
    spec = importlib.util.spec_from_loader(loader.name, loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


TOOL = load_tool()
CONFIG = "/usr/include/asio/detail/config.hpp"


def preprocessed(*macros, header=CONFIG):
    """Returns a preprocessed source that includes a header which defines macros."""
    return "\n".join(["#define BEFORE 1", f'# 1 "{header}" 1 3 4', *macros,
                      '# 2 "a.cpp" 2', "#define AFTER 1"])


class LibraryMacrosTest(unittest.TestCase):
    """Which differences are reported."""

    def reported(self, **sources):
        """Returns the reported lines for preprocessed sources."""
        return TOOL.differences({name: TOOL.macros_by_header(text)
                                 for name, text in sources.items()})

    def test_a_macro_that_one_source_lacks_is_reported(self):
        lines = self.reported(
            a=preprocessed("#define ASIO_HAS_STD_ALIGNED_ALLOC 1"),
            b=preprocessed())
        self.assertEqual(lines, [
            f"{CONFIG}: not the same in all sources, as in a and b: "
            "#define ASIO_HAS_STD_ALIGNED_ALLOC 1"])

    def test_a_macro_with_another_value_is_reported(self):
        self.assertEqual(1, len(self.reported(a=preprocessed("#define N 1"),
                                              b=preprocessed("#define N 2"))))

    def test_a_macro_that_one_source_undefines_is_reported(self):
        self.assertEqual(1, len(self.reported(
            a=preprocessed("#define N 1"),
            b=preprocessed("#define N 1", "#undef N"))))

    def test_the_same_macros_are_not_reported(self):
        for macros in ([], ["#define N 1"], ["#define N 1", "#undef N"]):
            with self.subTest(macros):
                self.assertEqual([], self.reported(a=preprocessed(*macros),
                                                   b=preprocessed(*macros)))

    def test_a_source_that_does_not_include_the_header_is_not_compared(self):
        self.assertEqual([], self.reported(a=preprocessed("#define N 1"),
                                           b="#define OTHER 1"))

    def test_headers_of_the_system_are_not_compared(self):
        for header in ("/usr/include/time.h", "/usr/include/c++/12/cstdlib",
                       "/usr/include/x86_64-linux-gnu/sys/types.h",
                       "/usr/include/aarch64-linux-gnu/bits/types.h",
                       "/usr/include/linux/types.h", "src/masticwinch/a.hpp"):
            with self.subTest(header):
                self.assertEqual([], self.reported(
                    a=preprocessed("#define N 1", header=header),
                    b=preprocessed(header=header)))


if __name__ == "__main__":
    unittest.main()
