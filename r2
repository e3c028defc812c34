==    slow-off
  trouble  50%: p50   7.9 p99  49.4 p99.9 106.0 ans  50.0% ref  0.0% msg/req  3.0 cold 1.1
  trouble  80%: p50  15.2 p99  54.8 p99.9 115.5 ans  76.5% ref  3.5% msg/req  4.2 cold 1.0
  trouble 150%: p50  25.7 p99  59.2 p99.9 117.8 ans  82.8% ref 33.6% msg/req  4.7 cold 1.0
  calm     50%: p50   7.3 p99  22.9 p99.9  32.4 ans  50.0% ref  0.0% msg/req  2.5 cold 0.0
  calm     80%: p50   8.9 p99  28.0 p99.9  36.8 ans  80.2% ref  0.0% msg/req  3.6 cold 0.0
  calm    150%: p50  24.5 p99  41.2 p99.9  50.2 ans  95.9% ref 27.1% msg/req  4.8 cold 0.0
==    slow-half
  trouble  50%: p50   8.0 p99  40.9 p99.9  97.9 ans  50.0% ref  0.0% msg/req  3.1 cold 1.0
  trouble  80%: p50  15.7 p99  51.4 p99.9 106.0 ans  75.7% ref  4.2% msg/req  4.3 cold 0.5
  trouble 150%: p50  25.5 p99  55.1 p99.9 117.8 ans  80.3% ref 34.8% msg/req  4.7 cold 0.2
  calm     50%: p50   7.3 p99  22.8 p99.9  32.1 ans  50.0% ref  0.0% msg/req  2.5 cold 0.0
  calm     80%: p50   9.0 p99  28.1 p99.9  37.2 ans  80.2% ref  0.0% msg/req  3.6 cold 0.0
  calm    150%: p50  24.5 p99  41.2 p99.9  49.9 ans  96.0% ref 27.0% msg/req  4.8 cold 0.0
== RAMP_GOOD=4   
  trouble  50%: p50   8.0 p99  43.7 p99.9 104.1 ans  50.0% ref  0.0% msg/req  3.0 cold 1.2
  trouble  80%: p50  15.6 p99  50.6 p99.9 108.1 ans  75.8% ref  4.2% msg/req  4.2 cold 1.0
  trouble 150%: p50  25.6 p99  54.4 p99.9 117.4 ans  80.6% ref 34.7% msg/req  4.7 cold 1.0
  calm     50%: p50   7.2 p99  22.8 p99.9  32.0 ans  50.0% ref  0.0% msg/req  2.5 cold 0.0
  calm     80%: p50   8.9 p99  28.3 p99.9  37.6 ans  80.2% ref  0.0% msg/req  3.6 cold 0.0
  calm    150%: p50  24.5 p99  41.1 p99.9  50.3 ans  96.0% ref 27.0% msg/req  4.8 cold 0.0
