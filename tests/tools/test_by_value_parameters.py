#!/usr/bin/env python3
"""Tests of tools/check-by-value-parameters."""

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
        "check_by_value_parameters",
        str(ROOT / "tools" / "check-by-value-parameters"))
    spec = importlib.util.spec_from_loader(loader.name, loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


TOOL = load_tool()


class ByValueParametersTest(unittest.TestCase):
    """Which declarations are reported."""

    def reported(self, text):
        """Returns the reported parameters."""
        return [parameter for _, parameter in TOOL.violations(text)]

    def test_a_handler_by_value_next_to_buffers_is_reported(self):
        self.assertEqual(self.reported("""
            template <class Buffers, class Handler>
            void async_write_some(const Buffers &buffers, Handler handler) {
            }"""), ["Handler handler"])

    def test_the_line_of_the_template_is_reported(self):
        self.assertEqual(TOOL.violations("""
            template <class T>
            void f(int n, T t);"""), [(2, "T t")])

    def test_a_parameter_next_to_a_size_or_a_view_is_reported(self):
        for other in ("std::size_t n", "std::string_view name"):
            with self.subTest(other):
                self.assertEqual(
                    self.reported(f"template <typename T> void f({other}, T t);"),
                    ["T t"])

    def test_packs_and_constant_or_unnamed_parameters_are_reported(self):
        for parameter in ("Args... args", "const Args args", "Args"):
            with self.subTest(parameter):
                self.assertEqual(
                    self.reported("template <class... Args> "
                                  f"void f(const X &x, {parameter});"),
                    [parameter])

    def test_a_parameter_constrained_to_other_concepts_is_reported(self):
        self.assertEqual(
            self.reported("template <std::invocable F> void f(int n, F f);"),
            ["F f"])

    def test_a_generic_lambda_is_reported(self):
        self.assertEqual(
            self.reported("g([this](auto x, const RouteMatch &match) {});"),
            ["auto x"])

    def test_an_abbreviated_function_template_is_reported(self):
        self.assertEqual(
            self.reported("void f(const auto &x, auto y, const auto z);"),
            ["auto y", "const auto z"])

    def test_loops_and_declarations_with_auto_are_allowed(self):
        self.assertEqual(self.reported("""
            for (auto it = begin(x), last = end(x); it != last; ++it) { g(a, b); }
            for (const auto &[key, value] : map) { const auto c = f(a, b); }
            if (auto it = m.find(k, l); it != m.end()) {}
            if (const auto problem = read(exchange->body(), name)) {}"""), [])

    def test_constructors_and_members_with_default_arguments_are_reported(self):
        self.assertEqual(self.reported("""
            struct S {
              template <class F> explicit S(const std::map<int, int> &m, F f = {});
            };"""), ["F f = {}"])

    def test_references_are_allowed(self):
        self.assertEqual(self.reported("""
            template <class B, class H> void f(const B &b, H &&handler);
            template <class B, class H> void g(const B &b, const H &handler);
            auto h = [](const auto &x, auto &&y) {};"""), [])

    def test_a_single_parameter_is_allowed(self):
        self.assertEqual(
            self.reported("template <class F> void run(F function);"), [])

    def test_numbers_and_enumerations_are_allowed(self):
        self.assertEqual(self.reported("""
            template <NamedEnum E> E f(const std::string &key, E fallback);
            template <class N>
            requires std::is_arithmetic_v<N> Field(std::string_view key, N n);
            """), [])

    def test_types_that_are_not_deduced_are_allowed(self):
        self.assertEqual(self.reported("""
            template <class T> void f(const T &t, std::vector<T> values);
            template <class T> struct S { void f(int a, int b); };
            template <class T> using Function = void (*)(int, T);
            void g(int a, int b);"""), [])

    def test_comments_and_literals_are_skipped(self):
        self.assertEqual(self.reported("""
            // template <class T> void f(int n, T t);
            const char *text = "template <class T> void f(int n, T t);";
            """), [])


if __name__ == "__main__":
    unittest.main()
