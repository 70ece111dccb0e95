//! Reading and writing of HTTP/1.1 messages.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of a message. Returns `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if !read_line(reader, &mut message.start_line)? {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if !read_line(reader, &mut line)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let status = message.start_line.split(' ').nth(1).and_then(|text| text.parse().ok());
    message.status = status.unwrap_or(0);
    Ok(Some(message))
}

fn read_line(reader: &mut impl BufRead, line: &mut String) -> io::Result<bool> {
    let mut bytes = Vec::new();
    if reader.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(false);
    }
    if !bytes.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    *line = String::from_utf8_lossy(&bytes).trim_end_matches(['\r', '\n']).to_owned();
    Ok(true)
}

/// Reads the body of a message by its framing.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
        return Ok(());
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if !is_chunked {
        return Ok(());
    }
    loop {
        let mut line = String::new();
        if !read_line(reader, &mut line)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        message.body.extend_from_slice(&chunk[..size]);
    }
}

/// Sends a message on a new connection and reads the whole answer.
pub fn call(address: SocketAddr, message: &[u8], timeout: Duration) -> Result<Message, String> {
    let text = |error: io::Error| error.to_string();
    let stream =
        TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout)).map_err(text)?;
    stream.set_read_timeout(Some(timeout)).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let mut writer = stream.try_clone().map_err(text)?;
    writer.write_all(message).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).map_err(text)?;
    let mut answer = head.ok_or("closed without an answer")?;
    read_body(&mut reader, &mut answer).map_err(|error| format!("cut: {error}"))?;
    Ok(answer)
}
