use std::cell::RefCell;

use serde::de::{
    DeserializeSeed, Deserializer, Error as _, IntoDeserializer, MapAccess, SeqAccess, Visitor,
};
use serde::forward_to_deserialize_any;
use serde_json::{Error, Value};

/// Current position in the value, and the path of the first error.
#[derive(Debug, Default)]
pub(crate) struct PathTrace {
    current_path: RefCell<Vec<String>>,
    error_path: RefCell<Option<Vec<String>>>,
}

impl PathTrace {
    pub(crate) fn into_error_path(self) -> Vec<String> {
        self.error_path.into_inner().unwrap_or_default()
    }

    fn with_key<T>(&self, key: &str, read: impl FnOnce() -> Result<T, Error>) -> Result<T, Error> {
        self.current_path.borrow_mut().push(key.to_owned());
        let result = read();
        if result.is_err() {
            let current_path = self.current_path.borrow().clone();
            self.error_path.borrow_mut().get_or_insert(current_path);
        }
        self.current_path.borrow_mut().pop();
        result
    }
}

/// Deserializer over a generic value that records the path of the first error.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TrackedDeserializer<'a> {
    pub(crate) value: &'a Value,
    pub(crate) trace: &'a PathTrace,
}

impl<'a> TrackedDeserializer<'a> {
    fn child(self, value: &'a Value) -> Self {
        Self {
            value,
            trace: self.trace,
        }
    }
}

impl<'a, 'de> Deserializer<'de> for TrackedDeserializer<'a> {
    type Error = Error;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.value {
            Value::Object(map) => visitor.visit_map(TrackedMapAccess {
                entries: map.iter(),
                current: None,
                parent: self,
            }),
            Value::Array(list) => visitor.visit_seq(TrackedSeqAccess {
                items: list.iter().enumerate(),
                parent: self,
            }),
            scalar => scalar.clone().deserialize_any(visitor),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.value {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        self.value.clone().deserialize_enum(name, variants, visitor)
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

struct TrackedMapAccess<'a> {
    entries: serde_json::map::Iter<'a>,
    current: Option<(&'a str, &'a Value)>,
    parent: TrackedDeserializer<'a>,
}

impl<'a, 'de> MapAccess<'de> for TrackedMapAccess<'a> {
    type Error = Error;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Error> {
        let Some((key, value)) = self.entries.next() else {
            return Ok(None);
        };
        self.current = Some((key, value));
        let read = || seed.deserialize(key.clone().into_deserializer());
        self.parent.trace.with_key(key, read).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Error> {
        let (key, value) = self
            .current
            .take()
            .ok_or_else(|| Error::custom("the key of this value has not been read"))?;
        let read = || seed.deserialize(self.parent.child(value));
        self.parent.trace.with_key(key, read)
    }
}

struct TrackedSeqAccess<'a> {
    items: std::iter::Enumerate<std::slice::Iter<'a, Value>>,
    parent: TrackedDeserializer<'a>,
}

impl<'a, 'de> SeqAccess<'de> for TrackedSeqAccess<'a> {
    type Error = Error;

    fn next_element_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Error> {
        let Some((index, value)) = self.items.next() else {
            return Ok(None);
        };
        let read = || seed.deserialize(self.parent.child(value));
        let read = self.parent.trace.with_key(&index.to_string(), read);
        read.map(Some)
    }
}
