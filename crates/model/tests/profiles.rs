//! Parsing of profiles, names and call contexts from untrusted text.

use assert_matches::assert_matches;
use model::{CallContext, Class, ProfileError, ServiceName, parse_profile};
use proptest::prelude::*;

const VALID_PROFILE: &str = r#"
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

/// Replaces `part` of the valid text and asserts that the only fault is at `line` and that its
/// field or message contains `field`.
fn assert_single_fault(part: &str, replacement: &str, line: usize, field: &str) {
    assert!(VALID_PROFILE.contains(part));
    let text = VALID_PROFILE.replacen(part, replacement, 1);
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
            assert_single_fault($part, $replacement, $line, $field);
        })*
    };
}

fault_cases! {
    unknown_field_is_rejected: "max_queue_delay_ms" => "max_queue_delay_s", line 5, "max_queue_delay_s";
    value_above_range_is_rejected: "= 50" => "= 50000000", line 5, "limits.max_queue_delay_ms";
    negative_value_is_rejected: "= 50" => "= -1", line 5, "limits.max_queue_delay_ms";
    wrong_type_is_rejected: "= 50" => "= \"50ms\"", line 5, "invalid type";
    invalid_profile_name_is_rejected: "\"front\"" => "\"Front Page\"", line 2, "name";
    unknown_class_is_rejected: "critical-plus" => "vip", line 11, "route.class";
    lower_case_method_is_rejected: "\"POST\"" => "\"post\"", line 9, "route.method";
    path_prefix_without_slash_is_rejected: "\"/buy\"" => "\"buy\"", line 10, "route.path_prefix";
    zero_deadline_is_rejected: "deadline_ms = 2000" => "deadline_ms = 0", line 13, "route.deadline_ms";
    missing_field_is_rejected: "class = \"critical-plus\"\n" => "", line 7, "class";
    duplicate_route_name_is_rejected: "\"read\"" => "\"buy\"", line 16, "route.name";
    syntax_error_is_rejected: "name = \"front\"" => "name = ", line 2, "";
    claimed_idempotent_route_is_rejected: "idempotent = true" => "idempotent = true\nclaimed = true", line 20,
        "route.claimed";
}

#[test]
fn first_matching_route_of_valid_profile_applies() {
    let profile = parse_profile(VALID_PROFILE).expect("the profile is valid");
    assert_eq!(profile.limits.max_queue_delay_ms, 50);
    let buy = profile.route("POST", "/buy/1").expect("a route matches");
    assert_eq!((buy.class, buy.is_claimed), (Class::CriticalPlus, true));
    let read = profile.route("GET", "/buy/1").expect("a route matches");
    assert_eq!((read.name.as_str(), read.is_claimed), ("read", false));
}

#[test]
fn two_invalid_values_give_two_faults() {
    let text = VALID_PROFILE.replace("critical-plus", "vip").replace("= 50", "= -1");
    assert_matches!(parse_profile(&text), Err(ProfileError::Faults(faults)) => {
        assert_eq!(faults.len(), 2);
    });
}

#[test]
fn text_above_size_limit_is_rejected() {
    let text = "#".repeat(model::MAX_PROFILE_BYTES + 1);
    assert_matches!(parse_profile(&text), Err(ProfileError::TooLarge(_)));
}

#[test]
fn invalid_utf8_is_rejected_with_its_offset() {
    assert_matches!(parse_profile(b"name = \"\xff\""), Err(ProfileError::NotUtf8(8)));
}

#[test]
fn profile_without_routes_is_rejected() {
    assert_matches!(parse_profile("name = \"front\""), Err(ProfileError::Faults(_)));
}

proptest! {
    #[test]
    fn profile_parser_does_not_panic_on_arbitrary_text(text in "\\PC{0,300}") {
        let _ = parse_profile(&text);
    }

    #[test]
    fn context_parser_does_not_panic_on_arbitrary_text(text in "\\PC{0,80}") {
        let _ = text.parse::<CallContext>();
    }

    #[test]
    fn call_contexts_round_trip(request: u128, call: u64) {
        let context = CallContext::new(model::RequestId::new(request), call);
        prop_assert_eq!(context.to_string().parse(), Ok(context));
    }

    #[test]
    fn valid_names_are_accepted_unchanged(name in "[a-z0-9-]{1,63}") {
        let service = ServiceName::new(&name).expect("the name is valid");
        prop_assert_eq!(service.as_str(), name);
    }

    #[test]
    fn names_with_other_characters_are_rejected(name in "[a-z]{0,5}[A-Z_./ é][a-z]{0,5}") {
        prop_assert!(ServiceName::new(&name).is_err());
    }
}
