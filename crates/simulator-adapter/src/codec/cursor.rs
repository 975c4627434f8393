//! Reads numbers and byte strings from the payload of a batch.

use super::error::CodecError;

/// A position in a payload, which advances with each read.
pub(super) struct Cursor<'a> {
    payload: &'a [u8],
    position: usize,
    /// The index of the current record in its batch, for error messages.
    pub(super) record: usize,
    /// The code of the current record, for error messages.
    pub(super) code: u8,
}

impl<'a> Cursor<'a> {
    pub(super) fn new(payload: &'a [u8]) -> Cursor<'a> {
        Cursor {
            payload,
            position: 0,
            record: 0,
            code: 0,
        }
    }

    pub(super) fn is_at_end(&self) -> bool {
        self.position >= self.payload.len()
    }

    pub(super) fn bytes(&mut self, length: usize) -> Result<&'a [u8], CodecError> {
        let end = self
            .position
            .checked_add(length)
            .filter(|end| *end <= self.payload.len())
            .ok_or(CodecError::Truncated {
                record: self.record,
                code: self.code,
                at: self.position,
            })?;
        let bytes = &self.payload[self.position..end];
        self.position = end;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], CodecError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub(super) fn u8(&mut self) -> Result<u8, CodecError> {
        Ok(self.array::<1>()?[0])
    }

    pub(super) fn u16(&mut self) -> Result<u16, CodecError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub(super) fn u32(&mut self) -> Result<u32, CodecError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub(super) fn u64(&mut self) -> Result<u64, CodecError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub(super) fn f32(&mut self) -> Result<f32, CodecError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    pub(super) fn f64(&mut self) -> Result<f64, CodecError> {
        Ok(f64::from_le_bytes(self.array()?))
    }
}
