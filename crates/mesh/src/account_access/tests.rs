//! Which requests need a key, and to whose account they belong.

use std::sync::Arc;

use indexmap::IndexSet;
use model::{
    CallerLimits, ClientAccount, Configuration, HostRoute, Idempotence, KeyDigest, Reason,
    RouteAccess, RouteTarget, ServiceName,
};
use policy::slots::CallPriority;

use super::{ParentLookup, RequestOrigin};
use crate::protocol_adapter::AccountKey;
use crate::running_requests::ParentRequest;

const ROUTE_PRIORITY: u32 = 5;
const PARENT_PRIORITY: u32 = 3;

fn service() -> ServiceName {
    ServiceName::new("books").expect("the name is valid")
}

fn route(access: RouteAccess) -> HostRoute {
    HostRoute {
        name: Arc::from("read"),
        host: Arc::from("shop.example"),
        path_prefix: Arc::from("/read/"),
        idempotence: Idempotence::Idempotent,
        access,
        timeout_ms: None,
        objective_latency_ms: None,
        priority: ROUTE_PRIORITY,
        targets: vec![RouteTarget { service: service(), weight: 1.0 }],
        max_attempts: 1,
    }
}

fn account(name: &str, key: &[u8], priority: Option<u32>) -> ClientAccount {
    ClientAccount {
        name: Arc::from(name),
        key_digests: vec![KeyDigest::of_key(key)],
        priority,
        quota: None,
    }
}

fn without_accounts() -> Configuration {
    let services = IndexSet::from([service()]);
    let routes = vec![route(RouteAccess::Keyed)];
    Configuration::new(1, services, routes, CallerLimits::default()).expect("it is valid")
}

fn with_accounts() -> Configuration {
    let accounts = vec![account("acme", b"acme-key", None), account("gold", b"gold-key", Some(1))];
    without_accounts().with_client_accounts(accounts).expect("the accounts are valid")
}

fn running() -> ParentLookup {
    ParentLookup::Running(ParentRequest {
        priority_level: PARENT_PRIORITY,
        sequence: 7,
        is_repeat: false,
        account: Some(Arc::from("parent")),
    })
}

fn digest(key: &[u8]) -> AccountKey {
    AccountKey::Digest(KeyDigest::of_key(key))
}

/// Returns account and priority of a request, or the reason of its refusal.
fn outcome(
    configuration: &Configuration,
    access: RouteAccess,
    parent: ParentLookup,
    key: AccountKey,
) -> Result<(Option<String>, CallPriority), Reason> {
    let route = route(access);
    let origin = RequestOrigin::new(configuration, &route, parent, || key);
    let origin = origin.map_err(|failure| failure.reason)?;
    let account = origin.account_name().map(|name| name.to_string());
    Ok((account, origin.priority(&route)))
}

fn new_request(
    account: Option<&str>,
    level: u32,
) -> Result<(Option<String>, CallPriority), Reason> {
    Ok((account.map(str::to_owned), CallPriority::NewRequest(level)))
}

fn in_progress() -> Result<(Option<String>, CallPriority), Reason> {
    Ok((Some("parent".to_owned()), CallPriority::InProgress(PARENT_PRIORITY)))
}

macro_rules! origin_tests {
    ($($name:ident: $configuration:expr, $access:ident, $parent:expr, $key:expr => $expected:expr;)*) => {
        $(
            /// Guards against requests that run for no account or for another one.
            #[test]
            fn $name() {
                let access = RouteAccess::$access;
                assert_eq!(outcome(&$configuration, access, $parent, $key), $expected);
            }
        )*
    };
}

use AccountKey::{Absent as NoKey, Invalid};
use ParentLookup::{Absent as NoParent, Unknown};

origin_tests! {
    known_key_selects_its_account:
        with_accounts(), Keyed, NoParent, digest(b"acme-key") => new_request(Some("acme"), 5);
    priority_of_an_account_replaces_that_of_the_route:
        with_accounts(), Keyed, NoParent, digest(b"gold-key") => new_request(Some("gold"), 1);
    unknown_key_is_refused:
        with_accounts(), Keyed, NoParent, digest(b"no-key") => Err(Reason::UnknownAccount);
    missing_key_is_refused:
        with_accounts(), Keyed, NoParent, NoKey => Err(Reason::UnknownAccount);
    invalid_key_is_refused:
        with_accounts(), Keyed, NoParent, Invalid => Err(Reason::UnknownAccount);
    call_for_a_running_request_belongs_to_its_account:
        with_accounts(), Keyed, running(), NoKey => in_progress();
    call_for_an_unknown_request_is_refused_as_such:
        with_accounts(), Keyed, Unknown, NoKey => Err(Reason::UnknownParent);
    key_counts_also_if_the_id_names_an_unknown_request:
        with_accounts(), Keyed, Unknown, digest(b"acme-key") => new_request(Some("acme"), 5);
    key_counts_also_if_the_id_names_a_running_request:
        with_accounts(), Keyed, running(), digest(b"acme-key") => new_request(Some("acme"), 5);
    unknown_key_is_refused_also_if_the_id_names_a_running_request:
        with_accounts(), Keyed, running(), digest(b"no-key") => Err(Reason::UnknownAccount);
    invalid_key_is_refused_also_if_the_id_names_a_running_request:
        with_accounts(), Keyed, running(), Invalid => Err(Reason::UnknownAccount);
    public_route_needs_no_key:
        with_accounts(), Public, NoParent, NoKey => new_request(None, 5);
    public_route_ignores_an_unknown_key:
        with_accounts(), Public, NoParent, digest(b"no-key") => new_request(None, 5);
    public_route_ignores_a_known_key:
        with_accounts(), Public, NoParent, digest(b"gold-key") => new_request(None, 5);
    public_route_takes_calls_for_unknown_requests:
        with_accounts(), Public, Unknown, NoKey => new_request(None, 5);
    call_to_a_public_route_belongs_to_the_account_of_its_request:
        with_accounts(), Public, running(), NoKey => in_progress();
    no_key_is_needed_without_accounts:
        without_accounts(), Keyed, NoParent, NoKey => new_request(None, 5);
    key_means_nothing_without_accounts:
        without_accounts(), Keyed, NoParent, digest(b"acme-key") => new_request(None, 5);
    call_for_an_unknown_request_is_served_without_accounts:
        without_accounts(), Keyed, Unknown, NoKey => new_request(None, 5);
    every_key_is_refused_if_the_list_of_accounts_is_empty:
        without_accounts().with_client_accounts(Vec::new()).expect("it is valid"), Keyed, NoParent,
        digest(b"acme-key") => Err(Reason::UnknownAccount);
}
