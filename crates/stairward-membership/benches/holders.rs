//! Ranking of holders for many services: incrementally for one member that leaves and rejoins, and
//! from scratch for the whole view, which every change required before rankings were incremental.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use stairward_membership::{Candidate, HolderRanking};
use stairward_types::{NodeId, RegionName, ServiceName, ZoneName};

/// Number of nodes and services of a small site, of sites with hundreds of machines, and of the
/// largest supported size.
const SIZES: [(u64, usize); 7] = [
    (30, 8),
    (300, 8),
    (300, 80),
    (1_400, 80),
    (1_400, 300),
    (1_000, 1_000),
    (2_000, 2_000),
];
/// Holders of a service whose back ends have three slots.
const HOLDERS: usize = 15;

type Member = (NodeId, RegionName, ZoneName);

fn member(node: u64) -> Member {
    let zone = node % 6;
    let region = RegionName::new(format!("region-{}", zone / 2)).unwrap();
    let zone = ZoneName::new(format!("zone-{zone}")).unwrap();
    (NodeId(node * 7_919), region, zone)
}

fn counts(services: usize) -> BTreeMap<ServiceName, usize> {
    let name = |service| ServiceName::new(format!("service-{service}")).unwrap();
    (0..services)
        .map(|service| (name(service), HOLDERS))
        .collect()
}

fn update_members(ranking: &mut HolderRanking, members: &[Member]) {
    let candidates = members.iter().map(|(node, region, zone)| Candidate {
        node: *node,
        region,
        zone,
        leaving: false,
    });
    black_box(ranking.set_members(candidates));
}

fn holders(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("holders");
    for (nodes, services) in SIZES {
        let size = format!("{nodes} nodes, {services} services");
        let members: Vec<_> = (0..nodes).map(member).collect();
        let counts = counts(services);
        group.bench_function(BenchmarkId::new("whole view", &size), |bencher| {
            bencher.iter(|| {
                let mut ranking = HolderRanking::default();
                ranking.set_services(&counts);
                update_members(&mut ranking, &members);
                ranking
            });
        });
        let mut ranking = HolderRanking::default();
        ranking.set_services(&counts);
        update_members(&mut ranking, &members);
        group.bench_function(BenchmarkId::new("one comes and goes", &size), |bencher| {
            bencher.iter(|| {
                update_members(&mut ranking, &members[1..]);
                update_members(&mut ranking, &members);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, holders);
criterion_main!(benches);
