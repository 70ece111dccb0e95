//! An answer that belongs to an earlier call on the same connection, or of which only part of the head
//! arrives, is not returned.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use assert_matches::assert_matches;
use http::Request;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{SendError, UpstreamClient};
use crate::body::UpstreamRequestBody;

/// Reads one request without a body and returns its call id.
async fn read_call_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let line = head.lines().find_map(|line| line.strip_prefix("heatherweir-call-id: "));
    line.map(str::to_owned)
}

/// Serves connections whose first answer comes twice: the copy is sent once the second request has
/// arrived. The body of an answer is the number of its request on the connection.
async fn serve_with_late_copies(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut first_answer = None;
            let mut number = 0;
            while let Some(id) = read_call_id(&mut stream).await {
                number += 1;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nheatherweir-call-id: {id}\r\ncontent-length: 1\r\n\r\n{number}"
                );
                let copy = first_answer.get_or_insert(answer.clone());
                let sent = if number == 2 { format!("{copy}{answer}") } else { answer };
                if stream.write_all(sent.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn send(client: &UpstreamClient, listen: std::net::SocketAddr) -> Result<String, SendError> {
    let response = client.send(listen, Request::new(UpstreamRequestBody::Buffered(None))).await?;
    let body = response.into_body().collect().await.map_err(|_| SendError::Broken)?;
    Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}

#[tokio::test]
async fn late_copy_of_an_answer_is_not_the_answer_to_the_next_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(serve_with_late_copies(listener));
    let client = UpstreamClient::new();
    assert_matches!(send(&client, address).await, Ok(body) if body == "1");
    assert_matches!(send(&client, address).await, Err(SendError::Broken));
    assert_matches!(send(&client, address).await, Ok(body) if body == "1", "on a new connection");
}

/// Serves connections that refuse their first request without a call id. When the second one arrives,
/// the refusal is sent once more, and the request runs.
async fn serve_with_copied_refusals(listener: TcpListener, runs: Arc<AtomicUsize>) {
    const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nheatherweir-outcome: not-run\r\n\
        content-length: 0\r\n\r\n";
    while let Ok((mut stream, _)) = listener.accept().await {
        let runs = Arc::clone(&runs);
        tokio::spawn(async move {
            let mut number = 0;
            while read_call_id(&mut stream).await.is_some() {
                number += 1;
                runs.fetch_add(usize::from(number > 1), Ordering::Relaxed);
                if stream.write_all(REFUSAL).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Guards against a copy of a refusal that is taken for the answer to a later call.
#[tokio::test]
async fn call_that_is_refused_has_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let runs = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve_with_copied_refusals(listener, Arc::clone(&runs)));
    let client = UpstreamClient::new();
    for _ in 0..4 {
        assert_matches!(send(&client, address).await, Ok(_));
    }
    assert_eq!(runs.load(Ordering::Relaxed), 0);
}

/// Guards against an answer that is taken for whole though its upstream stopped within the head.
#[tokio::test]
async fn answer_whose_head_breaks_off_is_not_returned() {
    const ANSWERS: [&str; 2] = [
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 12\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n",
    ];
    for answer in ANSWERS {
        for length in 0..answer.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
            let address = listener.local_addr().expect("the listener has an address");
            tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                read_call_id(&mut stream).await;
                let _ = stream.write_all(&answer.as_bytes()[..length]).await;
            });
            let result = send(&UpstreamClient::new(), address).await;
            assert_matches!(result, Err(SendError::Broken), "{length} bytes of {answer:?}");
        }
    }
}
