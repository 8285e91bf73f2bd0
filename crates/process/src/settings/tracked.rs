use std::cell::RefCell;

use serde::de::{
    DeserializeSeed, Deserializer, Error as _, IntoDeserializer, MapAccess, SeqAccess, Visitor,
};
use serde::forward_to_deserialize_any;
use serde_json::{Error, Value};

/// Where the first error happened.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    at: RefCell<Vec<String>>,
    failed: RefCell<Option<Vec<String>>>,
}

impl Trace {
    pub(crate) fn into_failed(self) -> Vec<String> {
        self.failed.into_inner().unwrap_or_default()
    }

    fn within<T>(&self, key: &str, read: impl FnOnce() -> Result<T, Error>) -> Result<T, Error> {
        self.at.borrow_mut().push(key.to_owned());
        let result = read();
        if result.is_err() {
            let at = self.at.borrow().clone();
            self.failed.borrow_mut().get_or_insert(at);
        }
        self.at.borrow_mut().pop();
        result
    }
}

/// Deserializer over a generic value that remembers the path of the first error.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tracked<'a> {
    pub(crate) value: &'a Value,
    pub(crate) trace: &'a Trace,
}

impl<'a> Tracked<'a> {
    fn below(self, value: &'a Value) -> Self {
        Self {
            value,
            trace: self.trace,
        }
    }
}

impl<'a, 'de> Deserializer<'de> for Tracked<'a> {
    type Error = Error;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.value {
            Value::Object(map) => visitor.visit_map(TrackedMap {
                entries: map.iter(),
                current: None,
                owner: self,
            }),
            Value::Array(list) => visitor.visit_seq(TrackedSeq {
                items: list.iter().enumerate(),
                owner: self,
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

struct TrackedMap<'a> {
    entries: serde_json::map::Iter<'a>,
    current: Option<(&'a str, &'a Value)>,
    owner: Tracked<'a>,
}

impl<'a, 'de> MapAccess<'de> for TrackedMap<'a> {
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
        self.owner.trace.within(key, read).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Error> {
        let (key, value) = self
            .current
            .take()
            .ok_or_else(|| Error::custom("no value"))?;
        let read = || seed.deserialize(self.owner.below(value));
        self.owner.trace.within(key, read)
    }
}

struct TrackedSeq<'a> {
    items: std::iter::Enumerate<std::slice::Iter<'a, Value>>,
    owner: Tracked<'a>,
}

impl<'a, 'de> SeqAccess<'de> for TrackedSeq<'a> {
    type Error = Error;

    fn next_element_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Error> {
        let Some((index, value)) = self.items.next() else {
            return Ok(None);
        };
        let read = || seed.deserialize(self.owner.below(value));
        let read = self.owner.trace.within(&index.to_string(), read);
        read.map(Some)
    }
}
