//! The group is founded although a machine is lost for good before that, once all settings name
//! another one in its place.

mod replica_net;

use replica_net::Net;

#[test]
fn group_is_founded_with_the_machine_that_took_the_place_of_a_lost_one() {
    for bootstrap in [true, false] {
        let mut net = Net::empty();
        for machine in [1, 2] {
            net.start_with(machine, &[1, 2, 3], true);
        }
        net.run(2_000);
        assert_eq!(net.leader(), None, "machine 3 never ran");
        net.start_with(4, &[1, 2, 4], bootstrap);
        for machine in [1, 2] {
            net.stop(machine);
            net.start_with(machine, &[1, 2, 4], true);
        }
        net.run(10_000);
        println!("bootstrap of machine 4: {bootstrap}, leader: {:?}", net.leader());
        assert!(net.leader().is_some(), "bootstrap of machine 4: {bootstrap}");
    }
}
