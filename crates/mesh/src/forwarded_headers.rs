//! Headers of a message that are sent on.

use http::{HeaderMap, HeaderName, header};
use model::headers;

/// Removes hop-by-hop headers and internal headers, which only nodes may send. Keeps `end_to_end`
/// headers also if the `Connection` header names them.
pub(crate) fn forwarded_headers(mut from: HeaderMap, end_to_end: &[HeaderName]) -> HeaderMap {
    let named: Vec<String> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !end_to_end.iter().any(|kept| kept == name.as_str()))
        .collect();
    for name in named {
        from.remove(name);
    }
    for name in headers::HOP_BY_HOP {
        from.remove(name);
    }
    let internal: Vec<_> =
        from.keys().filter(|name| headers::is_internal(name.as_str())).cloned().collect();
    for name in internal {
        from.remove(name);
    }
    from
}
