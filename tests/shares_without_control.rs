//! A gateway that control is out of reach for keeps using its part of what the fleet shares.

mod gateway_fixture;

use gateway_fixture::Fixture;

/// Half a minute after a gateway had lost control it took itself for one of 1,000: it sent an endpoint
/// with a limit of 4 requests per second one request in five minutes, and refused the rest.
#[test]
fn share_of_a_limit_does_not_collapse_while_control_is_out_of_reach() {
    let mut f = Fixture::ready();
    f.control_silent = true;
    f.advance(40_000);
    for caller in [1, 2] {
        f.call(caller, "/look/a", &[]);
        let sent = f.take_sent();
        f.answer(&sent, 200, &[("Limit", "4")], "found");
    }
    let mut served = 0;
    for caller in 3..13 {
        f.advance(1_000);
        f.call(caller, "/look/a", &[]);
        if f.has_sent() {
            let sent = f.take_sent();
            f.answer(&sent, 200, &[("Limit", "4")], "found");
            served += 1;
        }
    }
    assert!(served >= 8, "{served} of 10 calls served, one a second, by two endpoints");
}
