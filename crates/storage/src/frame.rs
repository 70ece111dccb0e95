//! Frames: a header with its own checksum, then a payload with its own.
//!
//! The header checksum tells a torn end, whose length is true but whose bytes are missing, from a
//! damaged length.

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + 2 * CHECKSUM_BYTES;
/// Sector size, in bytes: a write that was torn leaves whole sectors of zeros.
const SECTOR_BYTES: usize = 512;

/// Largest payload of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 30;

/// What stands at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Frame<'a> {
    Whole { payload: &'a [u8], next_offset: usize },
    Torn,
    Damaged,
}

pub(crate) fn encode(payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads the frame at an offset before the end of the bytes.
pub(crate) fn decode(bytes: &[u8], offset: usize) -> Frame<'_> {
    let rest = &bytes[offset..];
    if rest.len() < HEADER_BYTES {
        return Frame::Torn;
    }
    let (length, rest_checksums) = rest.split_at(LENGTH_BYTES);
    let header_checksum = word(rest_checksums, 0);
    let payload_checksum = word(rest_checksums, 1);
    if crc32fast::hash(length) != header_checksum {
        return if rest.iter().all(|&b| b == 0) { Frame::Torn } else { Frame::Damaged };
    }
    let length = word(length, 0) as usize;
    let body = &rest[HEADER_BYTES..];
    if body.len() < length {
        return Frame::Torn;
    }
    let payload = &body[..length];
    if crc32fast::hash(payload) == payload_checksum {
        return Frame::Whole { payload, next_offset: offset + HEADER_BYTES + length };
    }
    let is_last = body.len() == length;
    if is_last && has_unwritten_sector(bytes, offset + HEADER_BYTES) {
        return Frame::Torn;
    }
    Frame::Damaged
}

fn word(bytes: &[u8], position: usize) -> u32 {
    let at = position * CHECKSUM_BYTES;
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// Returns whether a sector, or the part of one at the end, is all zeros.
fn has_unwritten_sector(bytes: &[u8], from: usize) -> bool {
    let first = from.next_multiple_of(SECTOR_BYTES);
    let Some(tail) = bytes.get(first..) else {
        return false;
    };
    tail.chunks(SECTOR_BYTES).any(|sector| sector.iter().all(|&b| b == 0))
}
