use serde::ser::{self, Serialize};

use crate::journal::json_size::{JsonSizeCounter, Unsupported};

/// Counts the bytes of the items of a sequence or map, including commas and brackets.
pub(super) struct JsonItems<'a> {
    counter: &'a mut JsonSizeCounter,
    has_items: bool,
}

impl<'a> JsonItems<'a> {
    pub(super) fn open(counter: &'a mut JsonSizeCounter) -> Result<Self, Unsupported> {
        counter.add(2)?;
        Ok(Self {
            counter,
            has_items: false,
        })
    }

    fn item<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), Unsupported> {
        self.comma()?;
        value.serialize(&mut *self.counter)
    }

    fn field<T: Serialize + ?Sized>(&mut self, name: &str, value: &T) -> Result<(), Unsupported> {
        self.comma()?;
        self.counter.text(name)?;
        self.counter.add(1)?;
        value.serialize(&mut *self.counter)
    }

    fn comma(&mut self) -> Result<(), Unsupported> {
        let comma = usize::from(std::mem::replace(&mut self.has_items, true));
        self.counter.add(comma)
    }
}

macro_rules! items {
    ($($trait:ident::$method:ident,)*) => {
        $(impl ser::$trait for JsonItems<'_> {
            type Ok = ();
            type Error = Unsupported;

            fn $method<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), Unsupported> {
                self.item(value)
            }

            fn end(self) -> Result<(), Unsupported> {
                Ok(())
            }
        })*
    };
}

macro_rules! fields {
    ($($trait:ident,)*) => {
        $(impl ser::$trait for JsonItems<'_> {
            type Ok = ();
            type Error = Unsupported;

            fn serialize_field<T: Serialize + ?Sized>(
                &mut self,
                name: &'static str,
                value: &T,
            ) -> Result<(), Unsupported> {
                self.field(name, value)
            }

            fn end(self) -> Result<(), Unsupported> {
                Ok(())
            }
        })*
    };
}

items! {
    SerializeSeq::serialize_element,
    SerializeTuple::serialize_element,
    SerializeTupleStruct::serialize_field,
    SerializeTupleVariant::serialize_field,
}

fields! {
    SerializeStruct,
    SerializeStructVariant,
}

impl ser::SerializeMap for JsonItems<'_> {
    type Ok = ();
    type Error = Unsupported;

    fn serialize_key<T: Serialize + ?Sized>(&mut self, key: &T) -> Result<(), Unsupported> {
        self.item(key)
    }

    fn serialize_value<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<(), Unsupported> {
        self.counter.add(1)?;
        value.serialize(&mut *self.counter)
    }

    fn end(self) -> Result<(), Unsupported> {
        Ok(())
    }
}
