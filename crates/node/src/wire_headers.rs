//! Headers between HTTP and the inner messages.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use model::headers;

/// Drops headers that belong to the connection or to heatherweir.
pub(crate) fn answer_headers(from: HeaderMap, method: &Method, is_whole: bool) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(from.len());
    for (name, value) in &from {
        let is_kept =
            !headers::is_hop_by_hop(name.as_str()) && !headers::is_internal(name.as_str());
        if is_kept {
            kept.append(name.clone(), value.clone());
        }
    }
    if is_whole && method != Method::HEAD {
        kept.remove(header::CONTENT_LENGTH);
    }
    kept
}

/// Converts headers for a message.
pub(crate) fn to_rpc_headers(headers: &HeaderMap) -> Vec<rpc::Header> {
    let converted = headers.iter().map(|(name, value)| rpc::Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    converted.collect()
}

/// Converts headers of a message; unusable ones are dropped.
pub(crate) fn from_rpc_headers(headers: Vec<rpc::Header>) -> HeaderMap {
    let mut converted = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            converted.append(name, value);
        }
    }
    converted
}
