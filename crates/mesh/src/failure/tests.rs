//! Which refusals tell the caller to wait.

use model::Reason;

use super::CallFailure;

macro_rules! advice_tests {
    ($($name:ident: $failure:expr => $advises:literal;)*) => {
        $(
            /// Guards against refusals without a wait, after which callers retry at once, and against
            /// advice to repeat a request that is refused each time.
            #[test]
            fn $name() {
                assert_eq!($failure.advises_retry(), $advises);
            }
        )*
    };
}

advice_tests! {
    overload_advises_a_retry: CallFailure::not_run(Reason::Overloaded) => true;
    used_up_quota_advises_a_retry: CallFailure::not_run(Reason::QuotaExceeded) => true;
    missing_share_of_a_quota_advises_a_retry:
        CallFailure::not_run(Reason::QuotaUnavailable) => true;
    unproven_configuration_advises_a_retry:
        CallFailure::not_run(Reason::ConfigurationUnproven) => true;
    unknown_key_advises_no_retry: CallFailure::not_run(Reason::UnknownAccount) => false;
    unknown_outcome_advises_no_retry: CallFailure::unknown(Reason::ConnectionLost) => false;
}

/// Guards against an attempt at another VM with a key that no account has.
#[test]
fn unknown_key_is_not_retried() {
    assert!(!Reason::UnknownAccount.is_retryable());
    assert_eq!(CallFailure::not_run(Reason::UnknownAccount).status(), 401);
    assert_eq!(CallFailure::not_run(Reason::QuotaExceeded).status(), 429);
    assert_eq!(CallFailure::not_run(Reason::UnknownParent).status(), 503);
}
