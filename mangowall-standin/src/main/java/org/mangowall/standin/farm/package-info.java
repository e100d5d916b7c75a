/** All runners of an inventory as stand-ins in one process. */
package org.mangowall.standin.farm;
