// A configuration by the platform, with two endpoints and two workload classes.
#pragma once

namespace sablelink::test {

inline constexpr char kPlatformConfigJson[] =
    R"({"name":"n3","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
 "limits":{"cores":0.5,"memory_mb":64,"sockets":256},"changelog":"10.2.0.1:8500",
 "known":{"seq":3,"results":[{"seq":3,"fleet":{"seq":7,"whole":true,"hosts":[
   {"host":"s-1","dial":"10.1.0.9:10080","site":"east","class":"big","block":2,"health":"ready","share":4,"born_ms":0},
   {"host":"s-2","dial":"10.1.0.8:10080","site":"west","class":"std","block":1,"health":"draining","share":1.5,
    "born_ms":1700000000123}]}}]},
 "settings":{"Zones":["west","east"],"Flavors":["std","big"],"Instances":3,"TickUs":1000,
  "Limits":{"Cancel":true,"DialTimeoutUs":200000},"Extra":{"ThreadsByClass":[1,4],"Notes":"a, b"},
  "Report":{"Fields":["concurrent","x0"],"Source":"inline"},
  "Services":[{"Name":"lookup","AimUs":570000,"DeadlineUs":2810000,"Worth":1.0},
              {"Name":"report","AimUs":750000,"DeadlineUs":5620000,"Worth":5.0}]}})";

}  // namespace sablelink::test
