//! Round trips between the text form and the parsed value of ids and units.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use lagoon_core::id::{ShardId, TaskId, Ticket, WorkId};
use lagoon_core::unit::{Bytes, Millicores, Millis, Priority, Rate, Resources};

fn assert_round_trip<T>(text: &str, printed: &str)
where
    T: FromStr<Err: Debug> + Display + PartialEq + Debug,
{
    let value: T = text.parse().unwrap();
    assert_eq!(value.to_string(), printed);
    assert_eq!(printed.parse::<T>().unwrap(), value);
}

macro_rules! round_trips {
    ($($name:ident: $ty:ty, $text:literal => $printed:literal;)*) => {
        $(
            /// Guards against a text form that parses to a different value.
            #[test]
            fn $name() {
                assert_round_trip::<$ty>($text, $printed);
            }
        )*
    };
}

macro_rules! rejected {
    ($($name:ident: $ty:ty, $text:literal;)*) => {
        $(
            /// Guards against accepting invalid input.
            #[test]
            fn $name() {
                assert!($text.parse::<$ty>().is_err());
            }
        )*
    };
}

round_trips! {
    millicores_whole: Millicores, "2" => "2000m";
    millicores_fraction: Millicores, "1.5" => "1500m";
    bytes_binary: Bytes, "2GiB" => "2GiB";
    bytes_decimal: Bytes, "128GB" => "128GB";
    bytes_plain: Bytes, "17B" => "17B";
    millis_fraction: Millis, "5.3s" => "5300ms";
    millis_minutes: Millis, "120s" => "2m";
    rate_per_second: Rate, "500/s" => "500/s";
    priority: Priority, "80" => "80";
    resources: Resources, "cpu=2,memory=1GiB" => "cpu=2000m,memory=1GiB,accelerators=0";
    shard: ShardId, "cluj:3" => "cluj:3";
    work: WorkId, "w:cluj-napoca:3:7:15" => "w:cluj-napoca:3:7:15";
    task: TaskId, "w:cluj:3:7:15:2" => "w:cluj:3:7:15:2";
    task_attempt: TaskId, "w:cluj:3:7:15:2+9.1" => "w:cluj:3:7:15:2+9.1";
    ticket: Ticket, "t:cluj:3:7:15" => "t:cluj:3:7:15";
}

rejected! {
    negative_size: Bytes, "-1GiB";
    size_without_unit: Bytes, "17";
    wrong_unit: Millis, "5GiB";
    fraction_of_a_millicore: Millicores, "0.0005";
    priority_above_the_maximum: Priority, "101";
    unknown_resource: Resources, "disk=3";
    work_without_sequence: WorkId, "w:cluj:3:7";
    ticket_as_work: WorkId, "t:cluj:3:7:15";
    empty_domain: ShardId, ":3";
}
