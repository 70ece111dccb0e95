//! Frames of the files: a header with the payload length, then the payload.
//!
//! The header has separate checksums of the length and the payload. The checksum of the length
//! distinguishes a torn frame, whose length is valid but whose payload is incomplete, from a frame
//! with a damaged length.

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + 2 * CHECKSUM_BYTES;
/// Disk sector size, in bytes. A torn write leaves the sectors that it did not reach as zeros.
const SECTOR_BYTES: usize = 512;

/// Maximum payload of a frame, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// Result of decoding a frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Frame<'a> {
    /// A valid frame.
    Complete { payload: &'a [u8], next_offset: usize },
    /// A frame at the end of the file that a crash during its write left incomplete.
    Torn,
    /// A frame whose length or payload does not match its checksum.
    Damaged,
}

/// Encodes a payload as a frame.
pub(crate) fn encode(payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Decodes the frame at an offset, which must not exceed the length of `bytes`.
pub(crate) fn decode(bytes: &[u8], offset: usize) -> Frame<'_> {
    let remaining = &bytes[offset..];
    if remaining.len() < HEADER_BYTES {
        return Frame::Torn;
    }
    let (length, checksums) = remaining.split_at(LENGTH_BYTES);
    let length_checksum = read_u32(checksums, 0);
    let payload_checksum = read_u32(checksums, 1);
    if crc32fast::hash(length) != length_checksum {
        // A crash can leave zeros where no part of the frame was written.
        return if remaining.iter().all(|&b| b == 0) { Frame::Torn } else { Frame::Damaged };
    }
    let length = read_u32(length, 0) as usize;
    let after_header = &remaining[HEADER_BYTES..];
    if after_header.len() < length {
        return Frame::Torn;
    }
    let payload = &after_header[..length];
    if crc32fast::hash(payload) == payload_checksum {
        return Frame::Complete { payload, next_offset: offset + HEADER_BYTES + length };
    }
    let is_last = after_header.len() == length;
    if is_last && has_unwritten_sector(bytes, offset + HEADER_BYTES) {
        return Frame::Torn;
    }
    Frame::Damaged
}

/// Reads the little-endian `u32` with the given index in a slice of four-byte words.
fn read_u32(bytes: &[u8], word_index: usize) -> u32 {
    let offset = word_index * CHECKSUM_BYTES;
    u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}

/// Returns whether a sector after `start`, or the part of one at the end, is all zeros.
fn has_unwritten_sector(bytes: &[u8], start: usize) -> bool {
    let first_sector = start.next_multiple_of(SECTOR_BYTES);
    let Some(tail) = bytes.get(first_sector..) else {
        return false;
    };
    tail.chunks(SECTOR_BYTES).any(|sector| sector.iter().all(|&b| b == 0))
}
