//! Conversion of headers between HTTP and the messages of the peer protocol.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use model::headers;

/// Returns the headers of an upstream's answer without hop-by-hop and internal headers.
///
/// Also drops the `Content-Length` of a complete answer, since the server sets it from the body;
/// the answer to a `HEAD` request keeps it.
pub(crate) fn answer_headers(from: HeaderMap, method: &Method, is_complete: bool) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(from.len());
    for (name, value) in &from {
        let is_kept =
            !headers::is_hop_by_hop(name.as_str()) && !headers::is_internal(name.as_str());
        if is_kept {
            kept.append(name.clone(), value.clone());
        }
    }
    if is_complete && method != Method::HEAD {
        kept.remove(header::CONTENT_LENGTH);
    }
    kept
}

/// Converts HTTP headers to the headers of a message.
pub(crate) fn to_rpc_headers(headers: &HeaderMap) -> Vec<rpc::Header> {
    let converted = headers.iter().map(|(name, value)| rpc::Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    converted.collect()
}

/// Converts the headers of a message to HTTP headers. Drops invalid ones.
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
