//! A notice from members of another group takes no process away from its own group.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dotterelpin::link::message::{Beat, ControlNotice, ControlReply, Proof, Reply, Seen};
use dotterelpin::model::{BootId, ExchangeId, Revision, Timestamp};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::Output;

fn member(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7000).into()
}

fn wake(follower: &mut Follower, now: Timestamp, last: &mut u64) -> Vec<(ExchangeId, SocketAddr)> {
    let outputs = follower.wake::<()>(now, None, None, &mut || {
        *last += 1;
        ExchangeId(*last)
    });
    let open = outputs.into_iter().filter_map(|o| match o {
        Output::Open { exchange, peer, .. } => Some((exchange, peer)),
        _ => None,
    });
    open.collect()
}

fn prove(
    follower: &mut Follower,
    now: Timestamp,
    exchange: ExchangeId,
    at: u8,
    list: (u64, &[u8]),
) {
    let voters = list.1.iter().map(|v| member(*v)).collect();
    let (highest, epoch) = (Revision(0), list.0);
    let beat = Beat {
        member: "control".into(),
        proof: Some(Proof { member: member(at), highest, document: 0, epoch, voters }),
        config: None,
        seen: Seen::default(),
        endpoints: None,
        orders: None,
        quarantine: None,
        routing: None,
        reports: None,
    };
    follower.reply(now, exchange, &Reply::Control(ControlReply::Beat(beat)));
}

#[test]
fn process_in_touch_with_its_group_stays_with_it() {
    let mut follower = Follower::new(FollowerSettings {
        name: "gateway-0".into(),
        role: "gateway".into(),
        domain: "brno-a".into(),
        boot: BootId(1),
        address: None,
        members: vec![member(1)],
        endpoints: false,
        routes: true,
    });
    let (now, mut last) = (Timestamp::from_micros(1_000_000), 0);
    let open = wake(&mut follower, now, &mut last);
    prove(&mut follower, now, open[0].0, 1, (3, &[1]));
    assert!(follower.is_confirmed(now));
    // Another group had a process at this address before; its list has a higher epoch.
    let notice = ControlNotice::new("gateway".into(), 9, vec![member(7)]).unwrap();
    follower.noticed(now, &notice);
    let open = wake(&mut follower, now, &mut last);
    let (exchange, _) = open.iter().find(|(_, peer)| *peer == member(7)).unwrap();
    prove(&mut follower, now, *exchange, 7, (9, &[7]));
    let voters: BTreeSet<_> = follower.voters().into_iter().collect();
    assert_eq!(voters, [member(1)].into());
}
