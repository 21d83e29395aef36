//! Parsing of limits that servers state.

use jasminepond_ratelimit::RateLimit;
use test_case::test_case;

#[test_case("22.8", Some(22.8); "decimal")]
#[test_case(" 3 ", Some(3.0); "whole, with spaces")]
#[test_case("0", Some(0.0); "zero")]
#[test_case("0.0", Some(0.0); "zero with a point")]
#[test_case("99999999999", Some(1_000_000.0); "huge")]
#[test_case(&"9".repeat(400), Some(1_000_000.0); "too large for a float")]
#[test_case("", None; "empty")]
#[test_case(".", None; "only a point")]
#[test_case("1.2.3", None; "two points")]
#[test_case("-1", None; "negative")]
#[test_case("+1", None; "with a sign")]
#[test_case("1e3", None; "with an exponent")]
#[test_case("NaN", None; "not a number")]
#[test_case("inf", None; "infinite")]
#[test_case("1,5", None; "two values or a decimal comma")]
#[test_case("ten", None; "a word")]
fn limits_are_parsed(text: &str, expected: Option<f64>) {
    let limit = text.parse::<RateLimit>().ok();
    assert_eq!(limit.map(RateLimit::per_second), expected);
}
