//! Profiles from text, and names and contexts from outside.

use assert_matches::assert_matches;
use model::{CallContext, Class, ProfileError, ServiceName, parse_profile};
use proptest::prelude::*;

const VALID: &str = r#"
name = "front"

[limits]
max_queue_delay_ms = 50

[[route]]
name = "buy"
method = "POST"
path_prefix = "/buy"
class = "critical-plus"
idempotent = false
deadline_ms = 2000

[[route]]
name = "read"
path_prefix = "/"
class = "sheddable-plus"
idempotent = true
deadline_ms = 1000
"#;

/// Replaces a part of the valid text and expects one fault at a line that names a field.
fn check(part: &str, replacement: &str, line: usize, field: &str) {
    assert!(VALID.contains(part));
    let text = VALID.replacen(part, replacement, 1);
    assert_matches!(parse_profile(&text), Err(ProfileError::Faults(faults)) => {
        assert_eq!(faults.len(), 1, "{faults:?}");
        assert_eq!(faults[0].line, line, "{faults:?}");
        let message = format!("{} {}", faults[0].field, faults[0].message);
        assert!(message.contains(field), "{message}");
    });
}

macro_rules! fault_cases {
    ($($name:ident: $part:literal => $replacement:literal, line $line:literal, $field:literal;)*) => {
        $(#[test]
        fn $name() {
            check($part, $replacement, $line, $field);
        })*
    };
}

fault_cases! {
    unknown_field: "max_queue_delay_ms" => "max_queue_delay_s", line 5, "max_queue_delay_s";
    out_of_range: "= 50" => "= 50000000", line 5, "limits.max_queue_delay_ms";
    negative: "= 50" => "= -1", line 5, "limits.max_queue_delay_ms";
    wrong_type: "= 50" => "= \"50ms\"", line 5, "invalid type";
    bad_name: "\"front\"" => "\"Front Page\"", line 2, "name";
    bad_class: "critical-plus" => "vip", line 11, "route.class";
    bad_method: "\"POST\"" => "\"post\"", line 9, "route.method";
    bad_path: "\"/buy\"" => "\"buy\"", line 10, "route.path_prefix";
    zero_deadline: "deadline_ms = 2000" => "deadline_ms = 0", line 13, "route.deadline_ms";
    missing_field: "class = \"critical-plus\"\n" => "", line 7, "class";
    double_route: "\"read\"" => "\"buy\"", line 16, "route.name";
    broken_syntax: "name = \"front\"" => "name = ", line 2, "";
    claimed_read: "idempotent = true" => "idempotent = true\nclaimed = true", line 20,
        "route.claimed";
}

#[test]
fn valid_text_gives_routes_in_order() {
    let profile = parse_profile(VALID).expect("the text is valid");
    assert_eq!(profile.limits.max_queue_delay_ms, 50);
    let buy = profile.route("POST", "/buy/1").expect("the route is there");
    assert_eq!((buy.class, buy.is_claimed), (Class::CriticalPlus, true));
    let read = profile.route("GET", "/buy/1").expect("the route is there");
    assert_eq!((read.name.as_str(), read.is_claimed), ("read", false));
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = VALID.replace("critical-plus", "vip").replace("= 50", "= -1");
    assert_matches!(parse_profile(&text), Err(ProfileError::Faults(faults)) => {
        assert_eq!(faults.len(), 2);
    });
}

#[test]
fn oversized_text_is_refused() {
    let text = "#".repeat(model::MAX_PROFILE_BYTES + 1);
    assert_matches!(parse_profile(&text), Err(ProfileError::TooLarge(_)));
}

#[test]
fn text_that_is_not_utf8_names_the_byte() {
    assert_matches!(parse_profile(b"name = \"\xff\""), Err(ProfileError::NotUtf8(8)));
}

#[test]
fn profile_without_routes_is_refused() {
    assert_matches!(parse_profile("name = \"front\""), Err(ProfileError::Faults(_)));
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,300}") {
        let _ = parse_profile(&text);
    }

    #[test]
    fn any_context_is_read_or_refused(text in "\\PC{0,80}") {
        let _ = text.parse::<CallContext>();
    }

    #[test]
    fn contexts_round_trip(request: u128, call: u64) {
        let context = CallContext::new(model::RequestId::new(request), call);
        prop_assert_eq!(context.to_string().parse(), Ok(context));
    }

    #[test]
    fn names_round_trip(name in "[a-z0-9-]{1,63}") {
        let service = ServiceName::new(&name).expect("the name is valid");
        prop_assert_eq!(service.as_str(), name);
    }

    #[test]
    fn other_names_are_refused(name in "[a-z]{0,5}[A-Z_./ é][a-z]{0,5}") {
        prop_assert!(ServiceName::new(&name).is_err());
    }
}
