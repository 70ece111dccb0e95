//! Parses and validates profiles in TOML. Reports all invalid values of a text at once.

use std::ops::Range;

use quick_error::quick_error;
use serde::Deserialize;
use toml::Spanned;

use crate::{
    Class, LimitSettings, Objective, Profile, ProfileName, RetrySettings, Route, RouteName,
};

/// Maximum size of a profile text, in bytes.
pub const MAX_PROFILE_BYTES: usize = 64 * 1024;
const MAX_ROUTES: usize = 200;
const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
const DEFAULT_GOOD_PERCENT: f64 = 99.0;

/// A fault in a profile text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProfileFault {
    /// Line of the fault, counted from one.
    pub line: usize,
    /// Path of the invalid field, such as `route.deadline_ms`; empty if the text does not parse.
    pub field: String,
    /// Description of the fault, with the allowed values where they are restricted.
    pub message: String,
}

quick_error! {
    /// Reason for which a profile text is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProfileError {
        /// The text is larger than [`MAX_PROFILE_BYTES`].
        TooLarge(length_bytes: usize) {
            display("a profile has at most {} bytes, this one has {}", MAX_PROFILE_BYTES, length_bytes)
        }
        /// The text is not UTF-8.
        NotUtf8(offset_bytes: usize) {
            display("not UTF-8 at byte {}", offset_bytes)
        }
        /// The text does not parse or has invalid values.
        Faults(faults: Vec<ProfileFault>) {
            display("{}", join_faults(faults))
        }
    }
}

fn join_faults(faults: &[ProfileFault]) -> String {
    let lines = faults.iter().map(|fault| match fault.field.as_str() {
        "" => format!("line {}: {}", fault.line, fault.message),
        field => format!("line {}: {field}: {}", fault.line, fault.message),
    });
    lines.collect::<Vec<_>>().join("; ")
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawProfile {
    name: Spanned<String>,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    retries: RawRetries,
    #[serde(default, rename = "route")]
    routes: Vec<Spanned<RawRoute>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawLimits {
    max_queue_delay_ms: Option<Spanned<i64>>,
    min_limit: Option<Spanned<i64>>,
    cold_ramp_ms: Option<Spanned<i64>>,
    floor_percent: Option<Spanned<i64>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawRetries {
    allowance: Option<Spanned<i64>>,
    budget_percent: Option<Spanned<i64>>,
    attempt_timeout_ms: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    name: Spanned<String>,
    method: Option<Spanned<String>>,
    path_prefix: Spanned<String>,
    class: Spanned<String>,
    idempotent: bool,
    claimed: Option<Spanned<bool>>,
    deadline_ms: Spanned<i64>,
    max_body_bytes: Option<Spanned<i64>>,
    objective_percent: Option<Spanned<f64>>,
    objective_latency_ms: Option<Spanned<i64>>,
}

/// Parses and validates a profile text.
///
/// # Errors
///
/// Returns an error if the text is too large, is not UTF-8 or has faults. If the text does not
/// parse, for example because a field is missing or has another type, that is the only fault
/// reported. Otherwise all invalid values are reported, each with its line and field.
pub fn parse_profile(bytes: impl AsRef<[u8]>) -> Result<Profile, ProfileError> {
    let bytes = bytes.as_ref();
    if bytes.len() > MAX_PROFILE_BYTES {
        return Err(ProfileError::TooLarge(bytes.len()));
    }
    let text =
        std::str::from_utf8(bytes).map_err(|error| ProfileError::NotUtf8(error.valid_up_to()))?;
    let raw: RawProfile = toml::from_str(text).map_err(|error| syntax_error(text, &error))?;
    let mut validator = Validator { text, faults: Vec::new() };
    let profile = validator.validate_profile(&raw);
    match profile {
        Some(profile) if validator.faults.is_empty() => Ok(profile),
        _ => Err(ProfileError::Faults(validator.faults)),
    }
}

fn syntax_error(text: &str, error: &toml::de::Error) -> ProfileError {
    let line = error.span().map_or(1, |span| line_at(text, &span));
    let message = error.message().replace('\n', " ");
    ProfileError::Faults(vec![ProfileFault { line, field: String::new(), message }])
}

fn line_at(text: &str, span: &Range<usize>) -> usize {
    let end = span.start.min(text.len());
    1 + text.as_bytes()[..end].iter().filter(|&&b| b == b'\n').count()
}

struct Validator<'a> {
    text: &'a str,
    faults: Vec<ProfileFault>,
}

impl Validator<'_> {
    fn validate_profile(&mut self, raw: &RawProfile) -> Option<Profile> {
        let name = self.parse_string(&raw.name, "name", |name| ProfileName::new(name));
        let limits = self.validate_limits(&raw.limits);
        let retries = self.validate_retries(&raw.retries);
        let routes = self.validate_routes(&raw.routes);
        Some(Profile { name: name?, limits, retries, routes })
    }

    fn validate_limits(&mut self, raw: &RawLimits) -> LimitSettings {
        let default = LimitSettings::default();
        LimitSettings {
            max_queue_delay_ms: self.u64_or_default(
                &raw.max_queue_delay_ms,
                "limits.max_queue_delay_ms",
                0..10_001,
                default.max_queue_delay_ms,
            ),
            min_limit: self.u32_or_default(
                &raw.min_limit,
                "limits.min_limit",
                1..10_001,
                default.min_limit,
            ),
            cold_ramp_ms: self.u64_or_default(
                &raw.cold_ramp_ms,
                "limits.cold_ramp_ms",
                0..600_001,
                default.cold_ramp_ms,
            ),
            floor_percent: self.u32_or_default(
                &raw.floor_percent,
                "limits.floor_percent",
                0..51,
                default.floor_percent,
            ),
        }
    }

    fn validate_retries(&mut self, raw: &RawRetries) -> RetrySettings {
        let default = RetrySettings::default();
        RetrySettings {
            allowance: self.u32_or_default(
                &raw.allowance,
                "retries.allowance",
                0..21,
                default.allowance,
            ),
            budget_percent: self.u32_or_default(
                &raw.budget_percent,
                "retries.budget_percent",
                0..101,
                default.budget_percent,
            ),
            attempt_timeout_ms: self.u64_or_default(
                &raw.attempt_timeout_ms,
                "retries.attempt_timeout_ms",
                1..600_001,
                default.attempt_timeout_ms,
            ),
        }
    }

    fn validate_routes(&mut self, raw: &[Spanned<RawRoute>]) -> Vec<Route> {
        if raw.is_empty() {
            self.report_fault(
                &(0..0),
                "route",
                "a profile needs at least one [[route]]".to_owned(),
            );
        }
        if let Some(first_excess) = raw.get(MAX_ROUTES) {
            self.report_fault(
                &first_excess.span(),
                "route",
                format!("a profile has at most {MAX_ROUTES} routes"),
            );
        }
        let mut routes: Vec<Route> = Vec::new();
        for raw_route in raw.iter().take(MAX_ROUTES) {
            let Some(route) = self.validate_route(raw_route.get_ref()) else {
                continue;
            };
            if routes.iter().any(|other| other.name == route.name) {
                let span = raw_route.get_ref().name.span();
                self.report_fault(&span, "route.name", format!("{} is used twice", route.name));
            }
            routes.push(route);
        }
        routes
    }

    fn validate_route(&mut self, raw: &RawRoute) -> Option<Route> {
        let name = self.parse_string(&raw.name, "route.name", |name| RouteName::new(name));
        let class = self.parse_string(&raw.class, "route.class", |class| class.parse::<Class>());
        let is_claimed = raw.claimed.as_ref().map_or(!raw.idempotent, |claimed| *claimed.get_ref());
        if let Some(claimed) = &raw.claimed
            && *claimed.get_ref()
            && raw.idempotent
        {
            let message = "an idempotent route is not claimed".to_owned();
            self.report_fault(&claimed.span(), "route.claimed", message);
        }
        if !raw.path_prefix.get_ref().starts_with('/') {
            let message = "a path starts with '/'".to_owned();
            self.report_fault(&raw.path_prefix.span(), "route.path_prefix", message);
        }
        let method = raw.method.as_ref().map(|method| self.validate_method(method));
        let deadline_ms = self.u64_in_range(&raw.deadline_ms, "route.deadline_ms", 1..600_001);
        let max_body_bytes = self.u64_or_default(
            &raw.max_body_bytes,
            "route.max_body_bytes",
            0..(1 << 40) + 1,
            DEFAULT_MAX_BODY_BYTES,
        );
        let objective = self.validate_objective(raw);
        Some(Route {
            name: name?,
            method,
            path_prefix: raw.path_prefix.get_ref().clone(),
            class: class?,
            is_idempotent: raw.idempotent,
            is_claimed,
            deadline_ms: deadline_ms?,
            max_body_bytes,
            objective,
        })
    }

    fn validate_method(&mut self, raw: &Spanned<String>) -> String {
        let method = raw.get_ref();
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            let message = format!("{method:?} is not a method such as \"GET\"");
            self.report_fault(&raw.span(), "route.method", message);
        }
        method.clone()
    }

    fn validate_objective(&mut self, raw: &RawRoute) -> Objective {
        let good_percent = match &raw.objective_percent {
            Some(percent) if !(0.0..100.0).contains(percent.get_ref()) => {
                let message = format!("{} is not at least 0 and below 100", percent.get_ref());
                self.report_fault(&percent.span(), "route.objective_percent", message);
                DEFAULT_GOOD_PERCENT
            }
            Some(percent) => *percent.get_ref(),
            None => DEFAULT_GOOD_PERCENT,
        };
        let default_ms = u64::try_from(*raw.deadline_ms.get_ref()).unwrap_or(1);
        let latency_ms = self.u64_or_default(
            &raw.objective_latency_ms,
            "route.objective_latency_ms",
            1..600_001,
            default_ms,
        );
        Objective { good_percent, latency_ms }
    }

    fn parse_string<T, E: std::fmt::Display>(
        &mut self,
        raw: &Spanned<String>,
        field: &str,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Option<T> {
        match parse(raw.get_ref()) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report_fault(&raw.span(), field, error.to_string());
                None
            }
        }
    }

    fn u64_or_default(
        &mut self,
        raw: &Option<Spanned<i64>>,
        field: &str,
        allowed: Range<u64>,
        default: u64,
    ) -> u64 {
        match raw {
            Some(value) => self.u64_in_range(value, field, allowed).unwrap_or(default),
            None => default,
        }
    }

    fn u32_or_default(
        &mut self,
        raw: &Option<Spanned<i64>>,
        field: &str,
        allowed: Range<u64>,
        default: u32,
    ) -> u32 {
        let value = self.u64_or_default(raw, field, allowed, u64::from(default));
        u32::try_from(value).unwrap_or(default)
    }

    fn u64_in_range(
        &mut self,
        raw: &Spanned<i64>,
        field: &str,
        allowed: Range<u64>,
    ) -> Option<u64> {
        let value = u64::try_from(*raw.get_ref()).ok().filter(|value| allowed.contains(value));
        if value.is_none() {
            let (low, high) = (allowed.start, allowed.end - 1);
            let message = format!("{} is not in {low} to {high}", raw.get_ref());
            self.report_fault(&raw.span(), field, message);
        }
        value
    }

    fn report_fault(&mut self, span: &Range<usize>, field: &str, message: String) {
        let line = line_at(self.text, span);
        self.faults.push(ProfileFault { line, field: field.to_owned(), message });
    }
}
