//! Computes the size of a value as compact JSON without encoding it. Callers encode values later, but the size limits
//! of the store must be checked before.

use std::fmt::{self, Display};

use serde::ser::{self, Serialize};

use crate::journal::json_items::JsonItems;

/// Returns the number of bytes that `value` takes as compact JSON.
pub fn json_size<T: Serialize + ?Sized>(value: &T) -> u64 {
    let mut counter = JsonSizeCounter { bytes: 0 };
    // The journal's types contain nothing that the counter does not support.
    match value.serialize(&mut counter) {
        Ok(()) => counter.bytes,
        Err(Unsupported) => u64::MAX,
    }
}

/// Serializer that counts bytes and discards the output.
pub(super) struct JsonSizeCounter {
    bytes: u64,
}

/// Error for a value that the counter does not support.
#[derive(Debug)]
pub(super) struct Unsupported;

impl Display for Unsupported {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("value can't be counted as JSON")
    }
}

impl std::error::Error for Unsupported {}

impl ser::Error for Unsupported {
    fn custom<T: Display>(_: T) -> Self {
        Self
    }
}

impl JsonSizeCounter {
    pub(super) fn add(&mut self, bytes: usize) -> Result<(), Unsupported> {
        self.bytes += bytes as u64;
        Ok(())
    }

    pub(super) fn text(&mut self, text: &str) -> Result<(), Unsupported> {
        let escaped = |byte: u8| match byte {
            b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
            0..0x20 => 6,
            _ => 1,
        };
        self.add(2 + text.bytes().map(escaped).sum::<usize>())
    }

    fn number(&mut self, number: impl Display) -> Result<(), Unsupported> {
        self.add(number.to_string().len())
    }

    /// Counts `{"name":` of an enum variant and the closing brace.
    fn variant(&mut self, name: &str) -> Result<(), Unsupported> {
        self.text(name)?;
        self.add(3)
    }
}

macro_rules! numbers {
    ($($method:ident: $ty:ty,)*) => {
        $(fn $method(self, value: $ty) -> Result<(), Unsupported> {
            self.number(value)
        })*
    };
}

impl<'a> ser::Serializer for &'a mut JsonSizeCounter {
    type Ok = ();
    type Error = Unsupported;
    type SerializeSeq = JsonItems<'a>;
    type SerializeTuple = JsonItems<'a>;
    type SerializeTupleStruct = JsonItems<'a>;
    type SerializeTupleVariant = JsonItems<'a>;
    type SerializeMap = JsonItems<'a>;
    type SerializeStruct = JsonItems<'a>;
    type SerializeStructVariant = JsonItems<'a>;

    numbers! {
        serialize_i8: i8,
        serialize_i16: i16,
        serialize_i32: i32,
        serialize_i64: i64,
        serialize_u8: u8,
        serialize_u16: u16,
        serialize_u32: u32,
        serialize_u64: u64,
    }

    fn serialize_bool(self, value: bool) -> Result<(), Unsupported> {
        self.number(value)
    }

    fn serialize_f32(self, _: f32) -> Result<(), Unsupported> {
        Err(Unsupported)
    }

    fn serialize_f64(self, _: f64) -> Result<(), Unsupported> {
        Err(Unsupported)
    }

    fn serialize_char(self, value: char) -> Result<(), Unsupported> {
        self.text(value.encode_utf8(&mut [0; 4]))
    }

    fn serialize_str(self, value: &str) -> Result<(), Unsupported> {
        self.text(value)
    }

    fn serialize_bytes(self, _: &[u8]) -> Result<(), Unsupported> {
        Err(Unsupported)
    }

    fn serialize_none(self) -> Result<(), Unsupported> {
        self.add(4)
    }

    fn serialize_some<T: Serialize + ?Sized>(self, value: &T) -> Result<(), Unsupported> {
        value.serialize(self)
    }

    fn serialize_unit(self) -> Result<(), Unsupported> {
        self.add(4)
    }

    fn serialize_unit_struct(self, _: &'static str) -> Result<(), Unsupported> {
        self.add(4)
    }

    fn serialize_unit_variant(
        self,
        _: &'static str,
        _: u32,
        name: &'static str,
    ) -> Result<(), Unsupported> {
        self.text(name)
    }

    fn serialize_newtype_struct<T: Serialize + ?Sized>(
        self,
        _: &'static str,
        value: &T,
    ) -> Result<(), Unsupported> {
        value.serialize(self)
    }

    fn serialize_newtype_variant<T: Serialize + ?Sized>(
        self,
        _: &'static str,
        _: u32,
        name: &'static str,
        value: &T,
    ) -> Result<(), Unsupported> {
        self.variant(name)?;
        value.serialize(self)
    }

    fn serialize_seq(self, _: Option<usize>) -> Result<JsonItems<'a>, Unsupported> {
        JsonItems::open(self)
    }

    fn serialize_tuple(self, _: usize) -> Result<JsonItems<'a>, Unsupported> {
        JsonItems::open(self)
    }

    fn serialize_tuple_struct(
        self,
        _: &'static str,
        _: usize,
    ) -> Result<JsonItems<'a>, Unsupported> {
        JsonItems::open(self)
    }

    fn serialize_tuple_variant(
        self,
        _: &'static str,
        _: u32,
        name: &'static str,
        _: usize,
    ) -> Result<JsonItems<'a>, Unsupported> {
        self.variant(name)?;
        JsonItems::open(self)
    }

    fn serialize_map(self, _: Option<usize>) -> Result<JsonItems<'a>, Unsupported> {
        JsonItems::open(self)
    }

    fn serialize_struct(self, _: &'static str, _: usize) -> Result<JsonItems<'a>, Unsupported> {
        JsonItems::open(self)
    }

    fn serialize_struct_variant(
        self,
        _: &'static str,
        _: u32,
        name: &'static str,
        _: usize,
    ) -> Result<JsonItems<'a>, Unsupported> {
        self.variant(name)?;
        JsonItems::open(self)
    }
}
