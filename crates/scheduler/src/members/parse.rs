use lagoon_core::id::Epoch;
use lagoon_core::membership::Member;
use lagoon_wire::convert::parse_field;
use lagoon_wire::v1;

/// Parses the description of a member. Returns `None` if an id is invalid.
pub(super) fn parse_member(message: &v1::Member) -> Option<Member> {
    let shards = message.shards.iter().map(|claim| {
        let shard = parse_field("shard", &claim.shard).ok()?;
        Some((shard, Epoch::new(claim.epoch)))
    });
    Some(Member {
        process: parse_field("process", &message.process).ok()?,
        domain: parse_field("domain", &message.domain).ok()?,
        address: message.address.clone(),
        shards: shards.collect::<Option<_>>()?,
        policy: lagoon_core::id::PolicyVersion::new(message.policy_version),
    })
}
