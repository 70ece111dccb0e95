//! Running requests whose ids repeat.

use std::sync::Arc;

use http::HeaderValue;

use super::{ParentRequest, RunningRequests};

fn parent(account: &str) -> ParentRequest {
    ParentRequest {
        priority_level: 2,
        sequence: 7,
        is_repeat: false,
        account: Some(Arc::from(account)),
    }
}

/// Guards against the refusal of calls because another request with the same id has ended.
#[test]
fn request_stays_known_until_the_last_run_with_its_id_ends() {
    let requests: Arc<RunningRequests> = Arc::default();
    let id = HeaderValue::from_static("a1");
    let first = RunningRequests::register(&requests, Some(&id), parent("first"));
    let second = RunningRequests::register(&requests, Some(&id), parent("second"));
    drop(first);
    assert_eq!(requests.get_by_id(b"a1"), Some(parent("second")));
    drop(second);
    assert_eq!(requests.get_by_id(b"a1"), None);
}

/// Guards against a parent that is unknown while it runs, and known after that.
#[test]
fn request_is_known_while_it_runs() {
    let requests: Arc<RunningRequests> = Arc::default();
    let id = HeaderValue::from_static("a1");
    assert_eq!(requests.get_by_id(b"a1"), None);
    let run = RunningRequests::register(&requests, Some(&id), parent("first"));
    assert_eq!(requests.get_by_id(b"a1"), Some(parent("first")));
    assert_eq!(requests.get_by_id(b"a2"), None);
    drop(run);
    assert_eq!(requests.get_by_id(b"a1"), None);
}
